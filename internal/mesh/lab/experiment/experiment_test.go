package experiment

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/lab/emulator"
	"github.com/landingmast/landingmast/internal/units"
	. "github.com/onsi/gomega"
)

const folder = "../../../../experiments"

func named(t *testing.T, name string) *Experiment {
	t.Helper()
	all, err := LoadAll(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range all {
		if one.Name == name {
			return one
		}
	}
	t.Fatalf("no experiment %s", name)
	return nil
}

// shorter cuts an experiment down for the quick tests.
func shorter(e *Experiment, length time.Duration) *Experiment {
	short := *e
	short.Length = units.Duration(length)
	return &short
}

func trace(t *testing.T, e *Experiment, seed uint64) string {
	t.Helper()
	variant, _ := emulator.VariantNamed("landingmast")
	var text strings.Builder
	result, err := Trace(e, variant, seed, 500*time.Millisecond, func(samples []emulator.Sample) {
		for _, sample := range samples {
			fmt.Fprintf(&text, "%+v\n", sample)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "%+v %d %d %v\n", result.Classes, result.Events, result.Retries, result.Windows)
	return text.String()
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	g := NewWithT(t)
	e := shorter(named(t, "photo-downloads"), 18*time.Second)
	first := trace(t, e, 7)
	g.Expect(trace(t, e, 7)).To(Equal(first))
	g.Expect(trace(t, e, 8)).NotTo(Equal(first))
}

// TestRecoveryAndImportanceHoldInVirtualTime checks the goals on one seed of the
// hardest experiment; virtual time makes the figures the same on every machine.
func TestRecoveryAndImportanceHoldInVirtualTime(t *testing.T) {
	g := NewWithT(t)
	e := named(t, "all-three")
	run := func(name string) Measure {
		variant, known := emulator.VariantNamed(name)
		g.Expect(known).To(BeTrue())
		measured, err := runOne(e, variant, 1)
		g.Expect(err).NotTo(HaveOccurred())
		return measured
	}
	ours, baseline := run("landingmast"), run("baseline")
	g.Expect(ours.Recovered).To(BeTrue())
	g.Expect(ours.Recovery).To(BeNumerically("<=", 2*time.Second))
	g.Expect(ours.Critical).To(BeNumerically(">=", 0.999))
	g.Expect(ours.Goodput).To(BeNumerically(">=", 0.9))
	g.Expect(ours.Wasted).To(BeNumerically("<", 0.02))
	g.Expect(ours.Wrong).To(BeZero())
	g.Expect(baseline.Recovered).To(BeFalse())
	g.Expect(baseline.Critical).To(BeNumerically("<", 0.9))
}

func TestBadExperimentsAreRefused(t *testing.T) {
	g := NewWithT(t)
	good := "name: x\ndeployment: core-archive\nseeds: [1]\nlength: 10s\nload: 0.5\n"
	_, err := Parse([]byte(good))
	g.Expect(err).NotTo(HaveOccurred())
	for _, text := range []string{
		good + "colour: red\n", strings.Replace(good, "core-archive", "other", 1), strings.Replace(good, "10s", "10", 1),
		good + "events: [{kind: fire, at: 1s, until: 2s}]\n", good + "events: [{kind: surge, at: 5s, until: 2s}]\n",
		good + "events: [{kind: slow, service: none, at: 1s, until: 2s}]\n",
	} {
		_, err := Parse([]byte(text))
		g.Expect(failure.Is(err, failure.BadInput)).To(BeTrue(), text)
	}
}

func TestPossibleGivesSlotsInTheOrderOfImportance(t *testing.T) {
	g := NewWithT(t)
	now, err := demandAt(named(t, "surge"), 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	byClass, total := now.possible()
	g.Expect(byClass["fraud-flag"]).To(BeNumerically("~", now.rate*0.1, 1))
	g.Expect(byClass["claim-list"]).To(BeNumerically("<", now.rate*0.5))
	g.Expect(total).To(BeNumerically("<", now.rate))
}
