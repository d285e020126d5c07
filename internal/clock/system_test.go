package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestBootFollowsSteadyClock(t *testing.T) {
	g := NewWithT(t)
	s, err := NewSystem()
	g.Expect(err).NotTo(HaveOccurred())
	before := s.Boot()
	for end := time.Now().Add(250 * time.Millisecond); time.Now().Before(end); {
		now := s.Boot()
		g.Expect(now).To(BeNumerically(">=", before))
		before = now
	}
	g.Expect(s.Boot() - s.Monotonic()).To(BeNumerically("<", 5*time.Millisecond))
}

// A test cannot suspend the machine, so it simulates the clock readings after a suspension.
func TestBootCountsSuspension(t *testing.T) {
	for _, tc := range []struct {
		name     string
		bootJump time.Duration // jump of CLOCK_BOOTTIME
		wallJump time.Duration // step of the wall clock
		want     time.Duration
	}{
		{"suspended for 3 s", 3 * time.Second, 3 * time.Second, 3 * time.Second},
		{"wall clock stepped forward", 0, 2 * time.Second, 0},
		{"wall clock stepped back", 0, -2 * time.Second, 0},
		{"suspended while the wall clock stepped back", 3 * time.Second, time.Second, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s, err := NewSystem()
			g.Expect(err).NotTo(HaveOccurred())
			s.boot -= int64(tc.bootJump)
			s.drift.Add(-int64(tc.wallJump))
			g.Expect(s.Boot() - s.Monotonic()).To(BeNumerically("~", tc.want, 50*time.Millisecond))
		})
	}
}

// A suspension cancelled out by a step of the wall clock must be detected within bootReadInterval.
func TestHiddenSuspensionIsDetected(t *testing.T) {
	g := NewWithT(t)
	s, err := NewSystem()
	g.Expect(err).NotTo(HaveOccurred())
	s.boot -= int64(3 * time.Second)
	time.Sleep(2 * bootReadInterval)
	g.Expect(s.Boot() - s.Monotonic()).To(BeNumerically("~", 3*time.Second, 50*time.Millisecond))
}

func BenchmarkBoot(b *testing.B) {
	s, err := NewSystem()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s.Boot()
	}
}

// BenchmarkSteady is the baseline of BenchmarkBoot.
func BenchmarkSteady(b *testing.B) {
	s, err := NewSystem()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s.Monotonic()
	}
}
