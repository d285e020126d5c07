package logquery

import (
	"cmp"
	"slices"
	"time"
)

// roomInterval is the time before the last statement of a service's targets within which their
// statements count: a target under load makes one every 2 s.
const roomInterval = 2500 * time.Millisecond

// ServiceRoom is who held the slots of a service when its targets stated it last.
type ServiceRoom struct {
	Service string       `json:"service"`
	At      time.Time    `json:"at"`          // of the last statement
	Age     float64      `json:"age_seconds"` // time from there to the last line of the log
	Targets int          `json:"targets"`     // that stated who holds their slots
	Slots   int          `json:"slots"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Offered float64      `json:"offered"` // mean offered load of these targets, by slots
	Routes  []RoomHolder `json:"routes"`
	Tenants []RoomHolder `json:"tenants"`
}

// RoomHolder is a route or a tenant with its requests at the targets of a service.
type RoomHolder struct {
	Name    string  `json:"name"` // empty: requests without a tenant
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Demand  float64 `json:"demand"` // running and waiting requests over the slots of the service's targets
	// Rest reports that the entry sums up those that nodes did not state one by one.
	Rest bool `json:"rest,omitempty"`
}

// Room returns who held the slots of the services whose targets stated it, by service.
func Room(lines []Line) []ServiceRoom {
	rooms := []ServiceRoom{}
	for service, statements := range lastStatements(lines) {
		rooms = append(rooms, newServiceRoom(service, statements, lines[len(lines)-1].Time))
	}
	slices.SortFunc(rooms, func(a, b ServiceRoom) int { return cmp.Compare(a.Service, b.Service) })
	return rooms
}

// lastStatements returns the last statement of each node, by service, in the last roomInterval of the
// service.
func lastStatements(lines []Line) map[string][]Line {
	byService := map[string]map[string]Line{}
	ends := map[string]time.Time{}
	for _, line := range lines {
		if line.Kind != "room" {
			continue
		}
		service := line.field("service")
		if byService[service] == nil {
			byService[service] = map[string]Line{}
		}
		byService[service][line.Node] = line
		ends[service] = line.Time
	}
	last := map[string][]Line{}
	for service, byNode := range byService {
		for _, line := range byNode {
			if ends[service].Sub(line.Time) <= roomInterval {
				last[service] = append(last[service], line)
			}
		}
	}
	return last
}

// newServiceRoom sums up the statements of a service's targets. end is the time of the last line.
func newServiceRoom(service string, statements []Line, end time.Time) ServiceRoom {
	room := ServiceRoom{Service: service, Targets: len(statements), At: statements[0].Time}
	routes, tenants := map[holderKey]*RoomHolder{}, map[holderKey]*RoomHolder{}
	weighted := 0.0
	for _, line := range statements {
		if line.Time.After(room.At) {
			room.At = line.Time
		}
		room.Slots += int(line.number("slots"))
		room.Running += int(line.number("running"))
		room.Waiting += int(line.number("waiting"))
		weighted += line.number("offered") * line.number("slots")
		addHolders(routes, line.Fields["routes"])
		addHolders(tenants, line.Fields["tenants"])
	}
	room.Age = end.Sub(room.At).Seconds()
	room.Offered = weighted / float64(max(room.Slots, 1))
	room.Routes, room.Tenants = sortedHolders(routes, room.Slots), sortedHolders(tenants, room.Slots)
	return room
}

// holderKey tells the requests without a tenant from the rest, which has no name either.
type holderKey struct {
	name string
	rest bool
}

func addHolders(holders map[holderKey]*RoomHolder, list any) {
	entries, _ := list.([]any)
	for _, entry := range entries {
		fields, _ := entry.(map[string]any)
		stated := Line{Fields: fields}
		key := holderKey{stated.field("name"), stated.number("rest") > 0}
		if holders[key] == nil {
			holders[key] = &RoomHolder{Name: key.name, Rest: key.rest}
		}
		holders[key].Running += int(stated.number("running"))
		holders[key].Waiting += int(stated.number("waiting"))
	}
}

// sortedHolders returns the holders by demand in descending order, with the rest at the end.
func sortedHolders(holders map[holderKey]*RoomHolder, slotCount int) []RoomHolder {
	sorted := []RoomHolder{}
	for _, h := range holders {
		h.Demand = float64(h.Running+h.Waiting) / float64(max(slotCount, 1))
		sorted = append(sorted, *h)
	}
	slices.SortFunc(sorted, func(a, b RoomHolder) int {
		if a.Rest != b.Rest {
			if a.Rest {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}
