package logquery

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func newLine(kind, second string, fields map[string]any) Line {
	at, _ := time.Parse("15:04:05", second)
	fields["msg"] = kind
	return Line{Time: at, Kind: kind, Fields: fields}
}

// newRequestLine returns the event of a completed request; parent is empty for a client request.
func newRequestLine(second, id, parent, service string, status float64, reason string) Line {
	fields := map[string]any{"request": id, "service": service, "route": "r", "status": status, "reason": reason}
	if parent != "" {
		fields["parent"] = parent
	}
	return newLine("request", second, fields)
}

func TestLossCause(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lines []Line
		want  []Loss // At is not compared
	}{
		{"refused at entry because a downstream service is overloaded", []Line{
			newLine("request", "10:00:00", map[string]any{"request": "a", "route": "r", "service": "front", "status": 503.0, "reason": "overload", "decisive": "deep"}),
		}, []Loss{{Kind: "refused", Service: "deep", Reason: "overload"}}},
		{"nested call lost", []Line{
			newRequestLine("10:00:00", "a.1.1", "a.1", "deep", 502, "lost"),
			newRequestLine("10:00:00", "a.1", "a", "middle", 500, "none"),
			newRequestLine("10:00:00", "a", "", "front", 500, "none"),
		}, []Loss{{Kind: "failed", Service: "deep", Reason: "lost"}}},
		{"last of two failed calls", []Line{
			newRequestLine("10:00:00", "a.1", "a", "one", 503, "too_long"),
			newRequestLine("10:00:01", "a.2", "a", "two", 504, "timeout"),
			newRequestLine("10:00:01", "a", "", "front", 500, "none"),
		}, []Loss{{Kind: "failed", Service: "two", Reason: "timeout"}}},
		{"call cancelled after another call failed", []Line{
			newRequestLine("10:00:00", "a.1", "a", "one", 502, "lost"),
			newRequestLine("10:00:01", "a.2", "a", "two", 0, "cancelled"),
			newRequestLine("10:00:01", "a", "", "front", 500, "none"),
		}, []Loss{{Kind: "failed", Service: "one", Reason: "lost"}}},
		{"nested calls not logged", []Line{newRequestLine("10:00:00", "a", "", "front", 500, "none")}, []Loss{{Kind: "failed", Service: "front", Reason: "status 500"}}},
		{"late after waiting for a slot", []Line{
			newLine("run", "10:00:00", map[string]any{"request": "a.1", "service": "deep", "wait_ms": 300.0}),
			newLine("request", "10:00:01", map[string]any{"request": "a", "route": "r", "service": "front", "status": 200.0, "reason": "none", "took_ms": 900.0, "objective_ms": 800.0}),
		}, []Loss{{Kind: "late", Service: "deep", Reason: "waited"}}},
		{"in time, cancelled by the client, without a route", []Line{
			newLine("request", "10:00:01", map[string]any{"request": "a", "route": "r", "service": "front", "status": 200.0, "reason": "none", "took_ms": 700.0, "objective_ms": 800.0}),
			newRequestLine("10:00:01", "b", "", "front", 0, "cancelled"),
			newLine("request", "10:00:01", map[string]any{"request": "c", "status": 404.0, "reason": "no_route"}),
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var got []Loss
			for _, loss := range Lost(tc.lines) {
				loss.At = time.Time{}
				got = append(got, loss)
			}
			g.Expect(got).To(Equal(tc.want))
		})
	}
}

func TestLossCounts(t *testing.T) {
	g := NewWithT(t)
	losses := Lost([]Line{
		newRequestLine("10:00:00", "a", "", "front", 503, "too_long"),
		newRequestLine("10:00:01", "b", "", "front", 503, "too_long"),
		newRequestLine("10:00:01", "c", "", "front", 502, "lost"),
	})
	g.Expect(LostByCause(losses)).To(Equal([]Count{{Label: "refused  front too_long", Lines: 2}, {Label: "failed   front lost", Lines: 1}}))
	rows := LostBySecond(losses)
	g.Expect(rows).To(HaveLen(2))
	g.Expect(rows[1]).To(ContainSubstring("refused    1 failed    1 late    0"))
}

// The story of a request that was refused by price must give the numbers that decided, and that of an
// admitted one must not claim that the price kept others out.
func TestStoryOfARefusalByPrice(t *testing.T) {
	for _, tc := range []struct {
		name   string
		share  float64
		tenant float64 // ratio
		want   string
	}{
		{"refused", 0.25, 0, "0.25 of the route let in because deep is at 1.10 of its slots and asked for 1.30 of what it can do (price 2.50, merit of the route 0.70)"},
		{"refused, tenant above its share", 0.1, 3.5, "less than for others since the tenant asks for 3.50 of its fair share there"},
		{"admitted", 1, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			line := newLine("request", "10:00:00", map[string]any{
				"request": "a", "route": "r", "service": "front", "status": 503.0, "reason": "overload", "decisive": "deep",
				"share": tc.share, "occupancy": 1.1, "offered": 1.3, "price": 2.5, "merit": 0.7, "tenant_ratio": tc.tenant,
			})
			if tc.want == "" {
				g.Expect(describeRequest(line)).NotTo(ContainSubstring("let in"))
				return
			}
			g.Expect(describeRequest(line)).To(ContainSubstring(tc.want))
		})
	}
}

// The story must tell a promised time slot from the delay that is told without room, and a refusal that
// left the client no time from other refusals without Retry-After.
func TestStoryOfWhenARefusedClientMayReturn(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fields map[string]any
		want   string
	}{
		{"time slot", map[string]any{"reason": "overload", "price": 2.5, "retry_after_ms": 350.0, "return_in_ms": 350.0}, ", told to come back after 350 ms, in a time slot that has room"},
		{"no room", map[string]any{"reason": "overload", "price": 2.5, "retry_after_ms": 700.0, "returning": true}, ", told to come back after 700 ms"},
		{"no time left", map[string]any{"reason": "overload", "price": 2.5, "returning": true}, ", had come back after a refusal and has no time left for another attempt"},
		{"admitted on return", map[string]any{"reason": "none", "price": 2.5, "returning": true}, ""},
		{"held back", map[string]any{"reason": "ends_targets"}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(describeReturn(newLine("request", "10:00:00", tc.fields))).To(Equal(tc.want))
		})
	}
}
