package targetstate

import (
	"net/http"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	. "github.com/onsi/gomega"
)

type recorder struct {
	lines   []eventlog.Event
	invalid int
}

func (r *recorder) Add(event eventlog.Event, _ eventlog.Class) { r.lines = append(r.lines, event) }
func (r *recorder) Inc()                                       { r.invalid++ }

func newReader(now *time.Duration, enabled bool) (*Reader, *recorder) {
	records := &recorder{}
	return New(Options{
		Now: func() time.Duration { return *now }, Enabled: func() bool { return enabled }, PaceEnabled: func() bool { return enabled },
		Headers: headers.Names{RateLimit: "Rate", Leaving: "Leaving", Load: "Load"}, Events: records, Invalid: records,
	}), records
}

func TestReadState(t *testing.T) {
	header := http.Header{"Rate": {"3.6"}, "Leaving": {"1"}}
	for _, tc := range []struct {
		name    string
		enabled bool
		status  int
		header  http.Header
		state   outcome.TargetState
		valid   bool
	}{
		{"state", true, http.StatusOK, header, outcome.TargetState{Instance: "i", RateLimit: 3.6, Leaving: true}, true},
		{"state of an error", true, http.StatusServiceUnavailable, header, outcome.TargetState{Instance: "i", RateLimit: 3.6, Leaving: true}, true},
		{"nothing stated", true, http.StatusOK, nil, outcome.TargetState{Instance: "i", RateLimit: ratelimit.Unlimited}, true},
		{"another instance", true, http.StatusMisdirectedRequest, header, outcome.TargetState{}, false},
		{"not followed", false, http.StatusOK, header, outcome.TargetState{}, false},
		{"rate that is no number", true, http.StatusOK, http.Header{"Rate": {"x"}, "Leaving": {"1"}}, outcome.TargetState{Instance: "i", RateLimit: ratelimit.Unlimited, Leaving: true}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Duration(0)
			reader, _ := newReader(&now, tc.enabled)
			state, valid := reader.Read("i", "s", tc.status, tc.header)
			g.Expect(state).To(Equal(tc.state))
			g.Expect(valid).To(Equal(tc.valid))
		})
	}
}

func TestInvalidStatesAreCountedAndLoggedOnceAMinute(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	reader, records := newReader(&now, true)
	read := func(instance string) { reader.Read(instance, "s", http.StatusOK, http.Header{"Rate": {"x"}}) }
	for range 5 {
		read("a")
	}
	read("b")
	g.Expect(records.lines).To(HaveLen(2))
	now += logInterval
	read("a")
	g.Expect(records.lines).To(HaveLen(3))
	g.Expect(records.invalid).To(Equal(7))
}

// A pace must be read from every response of the target itself, and only if the switch allows it.
func TestReadPace(t *testing.T) {
	for _, tc := range []struct {
		name    string
		enabled bool
		status  int
		list    string
		factor  float64
		valid   bool
	}{
		{"stated", true, http.StatusOK, "1,0,50,140", 1.4, true},
		{"in an error", true, http.StatusServiceUnavailable, "1,0,50,140", 1.4, true},
		{"three figures", true, http.StatusOK, "1,0,50", 1, false},
		{"no header", true, http.StatusOK, "", 1, false},
		{"another instance", true, http.StatusMisdirectedRequest, "1,0,50,140", 1, false},
		{"switched off", false, http.StatusOK, "1,0,50,140", 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Duration(0)
			reader, _ := newReader(&now, tc.enabled)
			header := http.Header{}
			if tc.list != "" {
				header.Set("Load", tc.list)
			}
			factor, valid := reader.Pace(tc.status, header)
			g.Expect(factor).To(Equal(tc.factor))
			g.Expect(valid).To(Equal(tc.valid))
		})
	}
}
