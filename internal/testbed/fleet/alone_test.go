package fleet

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// threeDeep is a small mesh: front calls middle, middle calls deep twice, and
// orders, which may run at most once, call deep.
func threeDeep() Plan {
	return Plan{
		Zones: []string{"a", "b"}, Delay: time.Millisecond,
		Services: map[string]ServicePlan{
			"front":  {Targets: 3, Slots: 20, Works: []target.Work{{Prefix: "/front/", Time: 20 * time.Millisecond, Bytes: 1500, Calls: []target.Call{{Host: Host, Path: "/middle/x", Times: 1}}}}},
			"middle": {Targets: 2, Slots: 20, Works: []target.Work{{Prefix: "/middle/", Time: 5 * time.Millisecond, Bytes: 300, Calls: []target.Call{{Host: Host, Path: "/deep/x", Times: 2}}}, {Prefix: "/order/", Time: 30 * time.Millisecond, Bytes: 500, Calls: []target.Call{{Host: Host, Path: "/deep/x", Times: 1}}}}},
			"deep":   {Targets: 3, Slots: 8, Speeds: []float64{1.4, 1.4, 0.6}, Works: []target.Work{{Prefix: "/deep/", Time: 10 * time.Millisecond, Bytes: 200}}},
		},
		Routes: []Route{
			{Prefix: "/front/", Kind: "safe", Service: "front", Priority: 2, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, PerSecond: 100},
			{Prefix: "/order/", Kind: "unsafe", Service: "middle", Priority: 0, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, PerSecond: 40, Body: 300},
			{Prefix: "/middle/", Kind: "safe", Service: "middle", Priority: 1, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond},
			{Prefix: "/deep/", Kind: "safe", Service: "deep", Priority: 1, MaxAttempts: 2, Timeout: time.Second, Objective: 300 * time.Millisecond, Deadline: time.Second, PerSecond: 50},
		},
	}
}

// settle is the time that a mesh has before clients come.
const settle = 3 * time.Second

// play runs a mesh in virtual time: load for a span, and beside it what disturb does.
func play(t *testing.T, plan Plan, span time.Duration, disturb func(mesh *Mesh)) *Mesh {
	t.Helper()
	var played *Mesh
	synctest.Test(t, func(t *testing.T) {
		mesh, err := NewMesh(plan)
		if err != nil {
			t.Fatal(err)
		}
		defer mesh.Close()
		time.Sleep(settle)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if disturb != nil {
				disturb(mesh)
			}
		}()
		mesh.Load(span)
		<-done
		mesh.checkEnd()
		played = mesh
	})
	return played
}

func TestQuietDayIsServed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	mesh := play(t, threeDeep(), 10*time.Second, nil)
	g.Expect(mesh.Judge.Broken()).To(BeEmpty())
	for _, prefix := range []string{"/front/", "/order/", "/deep/"} {
		g.Expect(mesh.Tally.Share(prefix)).To(BeNumerically(">", 0.99), "%s: %v", prefix, mesh.Tally.Status)
	}
}

// Each kind of trouble comes alone, in the middle of a day: no rule is broken,
// what can be served is served, and all of it afterwards.
func TestEveryTroubleAlone(t *testing.T) {
	for _, trouble := range Troubles() {
		t.Run(trouble.Name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := play(t, threeDeep(), 10*time.Second, func(mesh *Mesh) {
				time.Sleep(2 * time.Second)
				trouble.Play(mesh, rand.New(rand.NewPCG(1, 2)))
			})
			g.Expect(mesh.Judge.Broken()).To(BeEmpty())
			for _, prefix := range []string{"/front/", "/order/"} {
				g.Expect(mesh.Tally.Share(prefix)).To(BeNumerically(">=", trouble.Least), "%s: %v", prefix, mesh.Tally.Status)
			}
		})
	}
}
