package departures

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

// fakeStore holds one key. It fails, loses responses and applies writes late on demand.
type fakeStore struct {
	store.Store

	mutex    sync.Mutex
	item     *store.Item
	revision int64
	lease    int64 // the only valid lease
	down     bool
	lose     bool          // writes are applied without a response
	delay    time.Duration // writes are applied this late, without a response
	puts     int
}

func (s *fakeStore) countPuts() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.puts
}

// Get implements store.Store.
func (s *fakeStore) Get(context.Context, string) (*store.Item, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	if s.item == nil {
		return nil, s.revision, nil
	}
	item := *s.item
	return &item, s.revision, nil
}

// Put implements store.Store.
func (s *fakeStore) Put(_ context.Context, write store.Write) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.puts++
	switch {
	case s.down:
		return 0, store.ErrUnavailable
	case s.delay > 0:
		time.AfterFunc(s.delay, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			_, _ = s.apply(write)
		})
		return 0, store.ErrNoResponse
	}
	revision, err := s.apply(write)
	if s.lose {
		return 0, store.ErrNoResponse
	}
	return revision, err
}

// apply applies a write. The caller holds mutex.
func (s *fakeStore) apply(write store.Write) (int64, error) {
	current := int64(0)
	if s.item != nil {
		current = s.item.Revision
	}
	if *write.IfRevision != current {
		return 0, store.ErrConflict
	}
	if write.Lease != s.lease {
		return 0, store.ErrLeaseExpired
	}
	s.revision++
	s.item = &store.Item{Key: write.Key, Value: write.Value, Lease: write.Lease, Revision: s.revision}
	return s.revision, nil
}

func (s *fakeStore) set(change func(s *fakeStore)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// endLease ends the lease and deletes the key; the node then registers again.
func (s *fakeStore) endLease() {
	s.set(func(s *fakeStore) {
		s.lease++
		s.revision++
		s.item = nil
	})
}

// process is a recorder that runs.
type process struct {
	*Recorder
	restored []string
	kill     func()
}

func start(ctx context.Context, s *fakeStore, firstStart bool) *process {
	ctx, kill := context.WithCancel(ctx)
	p := &process{kill: kill}
	events := eventlog.New("me", io.Discard)
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "calls"}, []string{"call", "result"})
	p.Recorder = New(Options{
		Store: s, Key: "d/me", Health: storehealth.New(events, calls), Events: events, FirstStart: firstStart,
		Lease: func() int64 {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.lease
		},
		OnLeaseExpired: func() {}, OnLoaded: func(instances []string) { p.restored = instances }, Nodes: func() int { return 10 },
	})
	if !firstStart {
		p.Load(ctx)
	}
	go p.Run(ctx)
	p.Wake()
	return p
}

// restart kills a process and returns its successor.
func (p *process) restart(ctx context.Context, s *fakeStore) *process {
	p.kill()
	synctest.Wait()
	return start(ctx, s, false)
}

func TestConfirmedDepartureIsKnownToTheNextProcess(t *testing.T) {
	for _, tc := range []struct {
		name       string
		begin, end func(s *fakeStore)
	}{
		{"store well", func(*fakeStore) {}, func(*fakeStore) {}},
		{"responses lost", func(s *fakeStore) { s.lose = true }, func(s *fakeStore) { s.lose = false }},
		{"writes late", func(s *fakeStore) { s.delay = 3 * time.Second }, func(s *fakeStore) { s.delay = 0 }},
		{"down", func(s *fakeStore) { s.down = true }, func(s *fakeStore) { s.down = false }},
		{"lease ended", func(s *fakeStore) { s.lease++; s.item = nil; s.revision++ }, func(*fakeStore) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := &fakeStore{lease: 1}
				p := start(ctx, s, true)
				time.Sleep(time.Second)
				s.set(tc.begin)
				confirmed := p.Record("i-1")
				s.set(tc.end)
				for range 10 {
					confirmed = confirmed || p.Record("i-1")
				}
				g.Expect(confirmed).To(BeTrue())
				time.Sleep(5 * time.Second) // late writes are applied
				next := p.restart(ctx, s)
				g.Expect(next.Complete()).To(BeTrue())
				g.Expect(next.restored).To(Equal([]string{"i-1"}))
			})
		})
	}
}

// A departure must not be confirmed unless the store has it.
func TestDepartureIsNotConfirmedWhileTheStoreFails(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(s *fakeStore)
	}{
		{"down", func(s *fakeStore) { s.down = true }},
		{"writes late", func(s *fakeStore) { s.delay = time.Hour }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := &fakeStore{lease: 1}
				p := start(ctx, s, true)
				time.Sleep(time.Second)
				s.set(tc.fail)
				began := time.Now()
				g.Expect(p.Record("i-1")).To(BeFalse())
				g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			})
		})
	}
}

// A process without a key must not make the next one believe that no instance has left.
func TestMissingKeyIsNotReplacedBeforeTheTargetIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &fakeStore{lease: 1}
		p := start(ctx, s, false)
		for range 3 {
			g.Expect(p.Complete()).To(BeFalse())
			time.Sleep(3 * time.Second)
			p = p.restart(ctx, s)
		}
		p.Confirm()
		time.Sleep(time.Second)
		g.Expect(p.restart(ctx, s).Complete()).To(BeTrue())
	})
}

// An unreachable store must not be taken for one without departures.
func TestUnreadableDeparturesAreLoadedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &fakeStore{lease: 1}
		p := start(ctx, s, true)
		g.Expect(p.Record("i-1")).To(BeTrue())
		s.set(func(s *fakeStore) { s.down = true })
		p = p.restart(ctx, s)
		g.Expect(p.Complete()).To(BeFalse())
		s.set(func(s *fakeStore) { s.down = false })
		time.Sleep(time.Second)
		g.Expect(p.Complete()).To(BeTrue())
		g.Expect(p.restored).To(Equal([]string{"i-1"}))
	})
}

// A key that a later release has written must not keep departures from being confirmed.
func TestUnreadableKeyIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &fakeStore{lease: 1, revision: 4, item: &store.Item{Value: []byte("unknown schema"), Revision: 4, Lease: 1}}
		p := start(ctx, s, false)
		g.Expect(p.Complete()).To(BeFalse())
		g.Expect(p.Record("i-1")).To(BeTrue())
	})
}

// A calm node must not write: one write when it registers, one for each departure.
func TestWritesAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &fakeStore{lease: 1}
		p := start(ctx, s, true)
		time.Sleep(time.Minute)
		g.Expect(s.countPuts()).To(Equal(1))
		for range 5 {
			g.Expect(p.Record("i-1")).To(BeTrue())
			p.Confirm()
			p.Wake()
		}
		time.Sleep(time.Minute)
		g.Expect(s.countPuts()).To(Equal(2))
		next := p.restart(ctx, s)
		next.Confirm()
		time.Sleep(time.Minute)
		g.Expect(s.countPuts()).To(Equal(2))
	})
}

func TestStoredInstancesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &fakeStore{lease: 1}
		p := start(ctx, s, true)
		for number := range 3 * maxInstances {
			g.Expect(p.Record(fmt.Sprint("i-", number))).To(BeTrue())
		}
		message, err := wire.DeparturesCodec.Decode(s.item.Value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(message.Instances).To(HaveLen(maxInstances))
		g.Expect(message.Instances[maxInstances-1]).To(Equal(fmt.Sprint("i-", 3*maxInstances-1)))
	})
}

// Whatever fails in which order, a process that takes the departures for complete knows every one
// that was confirmed.
func TestConfirmedDeparturesSurviveRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &fakeStore{lease: 1}
			p := start(ctx, s, true)
			var confirmed []string
			recorded := 0
			for step := range 40 {
				switch random.IntN(8) {
				case 0:
					p = p.restart(ctx, s)
				case 1:
					s.endLease()
					p.Wake()
				case 2:
					s.set(func(s *fakeStore) { s.down = !s.down })
				case 3:
					s.set(func(s *fakeStore) { s.lose = !s.lose })
				case 4:
					s.set(func(s *fakeStore) { s.delay = []time.Duration{0, 0, 2 * time.Second}[random.IntN(3)] })
				default:
					instance := fmt.Sprint("i-", step)
					if recorded++; recorded <= maxInstances && p.Record(instance) {
						confirmed = append(confirmed, instance)
					}
				}
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				if !p.Complete() {
					confirmed = nil // nothing is taken from them
					continue
				}
				p.mu.Lock()
				known := slices.Clone(p.instances)
				p.mu.Unlock()
				for _, instance := range confirmed {
					if !slices.Contains(known, instance) {
						t.Fatalf("seed %d, step %d: %s was confirmed and is not among %v", seed, step, instance, known)
					}
				}
			}
		})
	}
}
