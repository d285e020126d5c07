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

// retention is the time to expiry of the test runs.
const retention = 3 * time.Second

// Concurrent failures share one exit check, and each run is returned once.
func TestExitCheckIsSharedAndRunsAreTakenOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		err    error // error of the exit check
		exited bool
	}{
		{"refused", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, true},
		{"refused, wrapped by the link", errors.WithType(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, targetlink.ErrNotSent), true},
		{"listening", nil, false},
		{"timeout", context.DeadlineExceeded, false},
		{"out of file descriptors", syscall.EMFILE, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				u := &Unanswered{}
				var checks, firsts, runs atomic.Int32
				var group sync.WaitGroup
				for range 20 {
					group.Go(func() {
						u.Add(0, UnansweredRun{ExpiresAt: retention})
						exited := u.TargetExited(func(context.Context) error {
							checks.Add(1)
							time.Sleep(time.Millisecond)
							return tc.err
						})
						g.Expect(exited).To(Equal(tc.exited))
						if exited {
							taken, first := u.TakeRuns(time.Millisecond)
							runs.Add(int32(len(taken)))
							if first {
								firsts.Add(1)
							}
						}
					})
				}
				group.Wait()
				g.Expect(checks.Load()).To(Equal(int32(1)))
				if tc.exited {
					g.Expect(runs.Load()).To(Equal(int32(20)))
					g.Expect(firsts.Load()).To(Equal(int32(1)))
				} else {
					g.Expect(u.HasRuns(retention - 1)).To(BeTrue())
					g.Expect(u.HasRuns(retention)).To(BeFalse())
				}
			})
		})
	}
}

func TestSuspectSlotIsExclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		u := &Unanswered{suspectSlot: make(chan struct{}, 1)}
		g.Expect(u.AcquireSuspectSlot(context.Background())).To(BeTrue())
		start := time.Now()
		g.Expect(u.AcquireSuspectSlot(context.Background())).To(BeFalse())
		g.Expect(time.Since(start)).To(Equal(suspectSlotTimeout))
		u.ReleaseSuspectSlot()
		g.Expect(u.AcquireSuspectSlot(context.Background())).To(BeTrue())
	})
}
