package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/targetlink"
	. "github.com/onsi/gomega"
)

// kept is how long the runs of these tests count.
const kept = 3 * time.Second

// All runs that break off at one moment share one question, and each counts once.
func TestEndOfATargetIsAskedOnceAndItsRunsCountOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer error // of the question whether it listens
		ended  bool
	}{
		{"refused", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, true},
		{"refused, as the link says it", errors.WithType(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, targetlink.ErrNotSent), true},
		{"it listens", nil, false},
		{"it says nothing", context.DeadlineExceeded, false},
		{"no descriptor is left", syscall.EMFILE, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := &Unanswered{}
				var questions, told, runs atomic.Int32
				var group sync.WaitGroup
				for range 20 {
					group.Go(func() {
						e.Add(0, UnansweredRun{Until: kept})
						ended := e.Ended(func(context.Context) error {
							questions.Add(1)
							time.Sleep(time.Millisecond)
							return tc.answer
						})
						g.Expect(ended).To(Equal(tc.ended))
						if ended {
							taken, first := e.Take(time.Millisecond)
							runs.Add(int32(len(taken)))
							if first {
								told.Add(1)
							}
						}
					})
				}
				group.Wait()
				g.Expect(questions.Load()).To(Equal(int32(1)))
				if tc.ended {
					g.Expect(runs.Load()).To(Equal(int32(20)))
					g.Expect(told.Load()).To(Equal(int32(1)))
				} else {
					g.Expect(e.HoldsAny(kept - 1)).To(BeTrue())
					g.Expect(e.HoldsAny(kept)).To(BeFalse())
				}
			})
		})
	}
}

func TestOneSuspectIsAtATargetAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := &Unanswered{single: make(chan struct{}, 1)}
		g.Expect(e.AcquireSingle(context.Background())).To(BeTrue())
		began := time.Now()
		g.Expect(e.AcquireSingle(context.Background())).To(BeFalse())
		g.Expect(time.Since(began)).To(Equal(aloneWait))
		e.ReleaseSingle()
		g.Expect(e.AcquireSingle(context.Background())).To(BeTrue())
	})
}
