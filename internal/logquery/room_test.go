package logquery

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func newHolder(name string, running, waiting, rest float64) any {
	return map[string]any{"name": name, "running": running, "waiting": waiting, "rest": rest}
}

// newRoomLine returns a node's statement that a target with 10 slots serves and queues these requests.
func newRoomLine(second, node string, offered, running, waiting float64, tenants ...any) Line {
	line := newLine("room", second, map[string]any{
		"service": "deep", "slots": 10.0, "offered": offered, "running": running, "waiting": waiting,
		"routes": []any{newHolder("read", running, waiting, 0)}, "tenants": tenants,
	})
	line.Node = node
	return line
}

// Statements of a shortage that has passed, and earlier ones of the same node, must not add to the
// figures; the age must tell how old they are.
func TestRoomCountsTheLastStatementOfEachNode(t *testing.T) {
	g := NewWithT(t)
	rooms := Room([]Line{
		newRoomLine("10:00:00", "a", 3, 10, 90),
		newRoomLine("10:00:00", "gone", 3, 10, 90),
		newRoomLine("10:00:05", "a", 1.5, 10, 20, newHolder("large", 8, 18, 0), newHolder("", 2, 1, 0), newHolder("", 0, 1, 7)),
		newRoomLine("10:00:06", "b", 1.1, 9, 1, newHolder("small", 3, 1, 0), newHolder("large", 6, 0, 0)),
		newLine("request", "10:00:09", map[string]any{}),
	})
	g.Expect(rooms).To(Equal([]ServiceRoom{{
		Service: "deep", At: time.Date(0, 1, 1, 10, 0, 6, 0, time.UTC), Age: 3, Targets: 2, Slots: 20, Running: 19, Waiting: 21, Offered: 1.3,
		Routes: []RoomHolder{{Name: "read", Running: 19, Waiting: 21, Demand: 2}},
		Tenants: []RoomHolder{
			{Name: "large", Running: 14, Waiting: 18, Demand: 1.6},
			{Name: "small", Running: 3, Waiting: 1, Demand: 0.2},
			{Running: 2, Waiting: 1, Demand: 0.15},
			{Waiting: 1, Demand: 0.05, Rest: true},
		},
	}}))
}

// Logs without a shortage, and lines that are not as expected, must not fail the command.
func TestRoomOfOtherLines(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lines []Line
		want  int // services
	}{
		{"empty log", nil, 0},
		{"no statement", []Line{newLine("request", "10:00:00", map[string]any{})}, 0},
		{"fields of other types", []Line{newLine("room", "10:00:00", map[string]any{"service": "deep", "slots": "many", "routes": []any{1.0, nil}, "tenants": "none"})}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(Room(tc.lines)).To(HaveLen(tc.want))
		})
	}
}
