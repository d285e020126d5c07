// Package eventlog writes structured log lines for requests and for changes of
// node state. Each class of events has a rate limit; dropped lines are counted
// in a line per kind and second. Logging never blocks a request.
package eventlog

import "time"

// Event is one log line. Its fields are listed in docs/LOGS.md.
type Event interface {
	// Kind returns the constant name of the event type.
	Kind() string
}

// Request reports the completion of a request at its entry node.
type Request struct {
	Request           string    `json:"request" doc:"id of the client's request, or of the call made by the target"`
	Tenant            string    `json:"tenant,omitempty" doc:"tenant whose key was on the first request of the call chain"`
	Parent            string    `json:"parent,omitempty" doc:"id of the request at the local target that made the call"`
	Route             string    `json:"route,omitempty" doc:"matching route"`
	Service           string    `json:"service,omitempty" doc:"destination service"`
	Version           uint64    `json:"version" doc:"version of the configuration that was applied"`
	Importance        int       `json:"importance" doc:"queue priority; lower goes first"`
	Status            int       `json:"status" doc:"status sent to the client; 0 if the client disconnected first"`
	Reason            string    `json:"reason" doc:"why no response of a target was returned; none if one was"`
	TookMS            float64   `json:"took_ms" doc:"time from arrival to response"`
	TimeLimitMS       float64   `json:"hold_ms" doc:"time limit: the client's deadline or the route's timeout"`
	ObjectiveMS       float64   `json:"objective_ms,omitempty" doc:"latency objective of the route"`
	AdmitProbability  float64   `json:"share" doc:"admission probability: 1 unless the route's window is full or a service that it needs has a price"`
	BottleneckService string    `json:"decisive,omitempty" doc:"service whose price decided or, if the window did, that caused the longest slot wait in the route's call chains"`
	Occupancy         float64   `json:"occupancy,omitempty" doc:"mean occupancy of that service: running and waiting requests over slots"`
	Price             float64   `json:"price,omitempty" doc:"congestion price of that service; missing: no price decided"`
	Merit             float64   `json:"merit,omitempty" doc:"price up to which all requests of the route are admitted"`
	Offered           float64   `json:"offered,omitempty" doc:"offered load of that service: slot time asked for over what its targets provide"`
	Returning         bool      `json:"returning,omitempty" doc:"whether the client was refused before: it states less time than new requests of the route"`
	TenantRatio       float64   `json:"tenant_ratio,omitempty" doc:"slot time that the tenant asks of that service over its fair share; missing: it did not lower the admission probability"`
	StartWaitMS       float64   `json:"start_wait_ms,omitempty" doc:"time that the request waited at the start of its chain because a price admitted only a share of the route"`
	ReadAhead         bool      `json:"ahead,omitempty" doc:"whether it was read before the response to an earlier request on its connection was complete"`
	InFlight          int       `json:"in_flight,omitempty" doc:"requests of the route in flight from this node when it was rejected"`
	WindowSize        float64   `json:"fits,omitempty" doc:"size of the route's window at that time"`
	RetryAfterMS      float64   `json:"retry_after_ms,omitempty" doc:"value of Retry-After sent to the client"`
	ReturnInMS        float64   `json:"return_in_ms,omitempty" doc:"delay to the time slot assigned to a request that a price refused; missing: no time slot had room, or none is assigned"`
	Attempts          []Attempt `json:"sends,omitempty" doc:"attempts, in order"`
}

// Attempt is one attempt to run a request at a target.
type Attempt struct {
	Node      string  `json:"node" doc:"node of the target"`
	Outcome   string  `json:"outcome" doc:"answered, not_run or unknown"`
	Reason    string  `json:"reason" doc:"why"`
	Arrived   bool    `json:"arrived" doc:"whether the request reached the target"`
	Status    int     `json:"status,omitempty" doc:"of the target's answer"`
	TookMS    float64 `json:"took_ms" doc:"time until the reply"`
	Occupancy float64 `json:"occupancy" doc:"occupancy of the target reported in the reply"`
}

// Run reports the completion of a request at the node of its target.
type Run struct {
	Request     string  `json:"request" doc:"id of the request"`
	From        string  `json:"from" doc:"node that sent it"`
	Service     string  `json:"service" doc:"destination service"`
	Instance    string  `json:"instance,omitempty" doc:"instance of the target"`
	Outcome     string  `json:"outcome" doc:"answered, not_run or unknown"`
	Reason      string  `json:"reason" doc:"why"`
	Status      int     `json:"status,omitempty" doc:"of the target's answer"`
	Importance  int     `json:"importance" doc:"queue priority; lower goes first"`
	WaitMS      float64 `json:"wait_ms" doc:"time spent waiting for a slot"`
	TookMS      float64 `json:"took_ms" doc:"time from arrival to reply"`
	RemainingMS float64 `json:"left_ms" doc:"time to the deadline at arrival"`
	Running     int     `json:"running" doc:"requests running at the target on completion"`
	Waiting     int     `json:"waiting" doc:"requests waiting for a slot on completion"`
	Slots       int     `json:"slots" doc:"available slots of the target"`
	ConnectMS   float64 `json:"connect_ms,omitempty" doc:"time spent waiting for a connection to the target; missing: below a millisecond, or none was needed"`
	Pace        float64 `json:"pace,omitempty" doc:"time that work took at the target while the request ran, as the target states it, relative to the usual; missing: not stated"`
	Retry       bool    `json:"repeat,omitempty" doc:"whether it, or a request upstream in the call chain, is a retry"`
	Invalid     string  `json:"invalid,omitempty" doc:"what is wrong with a response that is not one of HTTP/1.1; missing for reason spoiled: no signature, or an encoded body"`
}

// Room reports who holds the slots of a target while it is offered more than 0.95 of what it provides,
// once in 2 s.
type Room struct {
	Service  string       `json:"service" doc:"service of the target"`
	Instance string       `json:"instance" doc:"instance of the target"`
	Slots    int          `json:"slots" doc:"available slots of the target"`
	Running  int          `json:"running" doc:"requests that hold one"`
	Waiting  int          `json:"waiting" doc:"requests waiting for one"`
	Offered  float64      `json:"offered" doc:"offered load: slot time asked for, refused requests included, over what the target provides"`
	Routes   []RoomHolder `json:"routes,omitempty" doc:"the 8 routes of calls with the most requests; the last entry sums up the rest"`
	Tenants  []RoomHolder `json:"tenants,omitempty" doc:"the same for tenants; missing if no request has one"`
}

// RoomHolder is a route or a tenant with its requests at a target.
type RoomHolder struct {
	Name    string `json:"name,omitempty" doc:"route or tenant; missing: requests without a tenant, or the rest"`
	Running int    `json:"running" doc:"slots that it holds"`
	Waiting int    `json:"waiting" doc:"its waiting requests"`
	Rest    int    `json:"rest,omitempty" doc:"number of further routes or tenants that the entry sums up"`
}

// Crash reports that the local target exited while it ran requests.
type Crash struct {
	Instance string     `json:"instance" doc:"instance that exited"`
	Service  string     `json:"service" doc:"its service"`
	Requests int        `json:"requests" doc:"requests that were running, or whose clients had disconnected less than a second before"`
	Runs     []CrashRun `json:"running" doc:"the first 100 of them"`
}

// CrashRun is a request that was running when its target exited.
type CrashRun struct {
	Request string `json:"request" doc:"id of the request"`
	Route   string `json:"route" doc:"its route"`
	Digest  string `json:"digest" doc:"digest of method, host, path and body; identical for a repeated request"`
}

// HeldBack reports a change to the set of requests blocked for crashing targets.
type HeldBack struct {
	Change  string `json:"change" doc:"held back, let go (it completed successfully, or an operator released it) or not read (the stored state could not be read)"`
	Digest  string `json:"digest,omitempty" doc:"digest of method, host, path and body"`
	Service string `json:"service,omitempty" doc:"service of the crashed targets"`
	Route   string `json:"route,omitempty" doc:"route of the request"`
	Crashes int    `json:"ends,omitempty" doc:"number of target crashes it was involved in"`
	Error   string `json:"error,omitempty" doc:"read error"`
}

// Settle reports a query for the outcome of a request that may run at most once.
type Settle struct {
	Request string `json:"request" doc:"id of the request"`
	From    string `json:"from" doc:"node that sent the query"`
	Outcome string `json:"outcome" doc:"answered, not_run (it was fenced) or unknown"`
	Reason  string `json:"reason" doc:"why"`
}

// Configuration reports that a configuration was applied or rejected.
type Configuration struct {
	Version  uint64 `json:"version" doc:"its version"`
	Previous uint64 `json:"before" doc:"previously applied version"`
	Routes   int    `json:"routes" doc:"number of routes"`
	Tenants  int    `json:"tenants,omitempty" doc:"number of tenants"`
	Source   string `json:"source" doc:"store or peer"`
	Error    string `json:"error,omitempty" doc:"why it was rejected"`
}

// Target reports a change of the local target.
type Target struct {
	Instance  string  `json:"instance" doc:"instance of the target"`
	Service   string  `json:"service" doc:"its service"`
	Change    string  `json:"change" doc:"ready, draining, left, heartbeat ignored or draining heartbeat ignored (acknowledged without effect), limited (its responses state a rate limit), limit lifted, leaving (its responses state that it leaves) or state invalid"`
	Slots     int     `json:"slots" doc:"number of slots"`
	Sequence  int64   `json:"sequence" doc:"sequence number of the heartbeat that reported it"`
	RateLimit float64 `json:"rate_limit,omitempty" doc:"requests per second, if the change is limited"`
	Source    string  `json:"source,omitempty" doc:"evidence of the change: heartbeat, identification (response to a health check), deregistration, replacement (another instance answered), response (header of a response to a request) store (announced to an earlier process of this node) or sender (a node that knew the rate limit when this one was restarted); for an ignored heartbeat why: stale (its instance has left, or a newer one has arrived), conflict (another instance holds the address) or unknown_service (no configuration names its service; not acknowledged)"`
	Error     string  `json:"error,omitempty" doc:"what is wrong with the state in its responses"`
}

// Member reports a change in the membership state of another node.
type Member struct {
	Member      string `json:"member" doc:"the other node"`
	Change      string `json:"change" doc:"learned, lapsed (its record is missing from the store), forgotten (removed), silent (unresponsive) or heard again (responsive again)"`
	Incarnation string `json:"incarnation,omitempty" doc:"process incarnation of the other node"`
	Service     string `json:"service,omitempty" doc:"service of its target"`
	Instance    string `json:"instance,omitempty" doc:"instance of its target"`
	Serving     bool   `json:"serving" doc:"whether it accepts new requests"`
	Source      string `json:"source,omitempty" doc:"store or peer"`
}

// Store reports a change in the availability of the store.
type Store struct {
	Change   string  `json:"change" doc:"lost, limited (rate limited), regained, followed (the node reads the store for its zone) or unfollowed"`
	Call     string  `json:"call,omitempty" doc:"failed call"`
	Error    string  `json:"error,omitempty" doc:"error of the call"`
	OutageMS float64 `json:"away_ms,omitempty" doc:"duration of the outage"`
}

// Freshness reports whether requests with keys are rejected because the configuration has
// not been confirmed recently.
type Freshness struct {
	Change  string  `json:"change" doc:"unconfirmed (requests with keys are rejected) or confirmed"`
	Version uint64  `json:"version" doc:"latest version at the last confirmation"`
	AgeMS   float64 `json:"age_ms" doc:"time since the last confirmation"`
}

// Keeper reports a change of the node's role as quota keeper of a shard.
type Keeper struct {
	Shard  int    `json:"shard" doc:"shard of tenants"`
	Change string `json:"change" doc:"taken over, not taken over, names not written, paused (the lease expired), resumed or ended"`
	Epoch  int64  `json:"epoch,omitempty" doc:"store revision at the takeover"`
	Listed int    `json:"listed,omitempty" doc:"nodes that may hold quota granted by the previous keeper"`
	Error  string `json:"error,omitempty" doc:"error that caused the change"`
}

// Node reports a change in the state of the process.
type Node struct {
	Change      string  `json:"change" doc:"started, reloaded, reload refused, woke (resumed after a suspension of the machine), stopping, stopped, departures unknown (the store does not tell which instances of the target have left, so that only heartbeats count) or panic"`
	Incarnation string  `json:"incarnation,omitempty" doc:"incarnation of the process"`
	InFlight    int64   `json:"in_flight,omitempty" doc:"requests in flight"`
	TookMS      float64 `json:"took_ms,omitempty" doc:"duration of the shutdown or of the suspension"`
	Error       string  `json:"error,omitempty" doc:"reload error, error of the store or panic message"`
}

// Omitted reports the number of lines of a kind dropped since the previous report.
type Omitted struct {
	OfKind string `json:"of" doc:"kind of the dropped lines"`
	Lines  int    `json:"lines" doc:"number of dropped lines"`
}

// Kind implements Event.
func (Request) Kind() string { return "request" }

// Kind implements Event.
func (Run) Kind() string { return "run" }

// Kind implements Event.
func (Room) Kind() string { return "room" }

// Kind implements Event.
func (Crash) Kind() string { return "crash" }

// Kind implements Event.
func (HeldBack) Kind() string { return "held_back" }

// Kind implements Event.
func (Settle) Kind() string { return "settle" }

// Kind implements Event.
func (Configuration) Kind() string { return "configuration" }

// Kind implements Event.
func (Target) Kind() string { return "target" }

// Kind implements Event.
func (Member) Kind() string { return "member" }

// Kind implements Event.
func (Store) Kind() string { return "store" }

// Kind implements Event.
func (Node) Kind() string { return "node" }

// Kind implements Event.
func (Freshness) Kind() string { return "freshness" }

// Kind implements Event.
func (Keeper) Kind() string { return "keeper" }

// Kind implements Event.
func (Omitted) Kind() string { return "omitted" }

// All returns a zero value of each event type, used to generate docs/LOGS.md.
func All() []Event {
	return []Event{Request{}, Run{}, Room{}, Crash{}, HeldBack{}, Settle{}, Configuration{}, Target{}, Member{}, Store{}, Freshness{}, Keeper{}, Node{}, Omitted{}}
}

// Milliseconds converts a duration to the unit used in the log.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
