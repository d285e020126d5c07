// Package eventlog writes one structured line for each decision that touches a
// request or changes what a node believes. The volume is bounded: lines of
// failures go before lines of successes, and a line a second says how many of
// which kind were left out. Writing never holds a request up.
package eventlog

import "time"

// Event is one line of the log. Its fields are listed in docs/LOGS.md.
type Event interface {
	// Kind names the event; a fixed word.
	Kind() string
}

// Request is the end of a request at the node where it began, with all decisions
// made there.
type Request struct {
	Request      string  `json:"request" doc:"id of the client's attempt, or of the target's call"`
	Tenant       string  `json:"tenant,omitempty" doc:"tenant whose key the chain's first request carried"`
	Parent       string  `json:"parent,omitempty" doc:"id of the request at the target beside this node that made the call"`
	Route        string  `json:"route,omitempty" doc:"route that fits"`
	Service      string  `json:"service,omitempty" doc:"service that it goes to"`
	Version      uint64  `json:"version" doc:"configuration that decided"`
	Importance   int     `json:"importance" doc:"place in queues; lower goes first"`
	Status       int     `json:"status" doc:"status that the sender got; 0: none, the sender had left"`
	Reason       string  `json:"reason" doc:"why it ended without a target's answer; none: it has one"`
	TookMS       float64 `json:"took_ms" doc:"from its arrival to its answer"`
	HoldMS       float64 `json:"hold_ms" doc:"longest time that it might have taken: the sender's deadline or the route's timeout"`
	ObjectiveMS  float64 `json:"objective_ms,omitempty" doc:"time inside which the route's answer is wanted"`
	Share        float64 `json:"share" doc:"chance with which the request was let in: 1 unless the route's window is full"`
	Decisive     string  `json:"decisive,omitempty" doc:"service for whose slots the route's chains waited most, where the window is in force"`
	Occupancy    float64 `json:"occupancy,omitempty" doc:"mean occupancy of that service: at its targets and waiting, over slots"`
	InFlight     int     `json:"in_flight,omitempty" doc:"requests of the route in flight from here when it was refused"`
	Fits         float64 `json:"fits,omitempty" doc:"how many of them the route's window held then"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty" doc:"when the sender was told to come back"`
	Sends        []Send  `json:"sends,omitempty" doc:"targets that were tried, in order"`
}

// Send is one sending of a request to a target's node.
type Send struct {
	Node      string  `json:"node" doc:"node beside the target"`
	Outcome   string  `json:"outcome" doc:"answered, not_run or unknown"`
	Reason    string  `json:"reason" doc:"why"`
	Arrived   bool    `json:"arrived" doc:"the request reached the target"`
	Status    int     `json:"status,omitempty" doc:"of the target's answer"`
	TookMS    float64 `json:"took_ms" doc:"until the reply"`
	Occupancy float64 `json:"occupancy" doc:"of the target, in the reply"`
}

// Run is the end of a request at the node beside the target that was to run it.
type Run struct {
	Request    string  `json:"request" doc:"id of the request"`
	From       string  `json:"from" doc:"node that sent it"`
	Service    string  `json:"service" doc:"service that it is for"`
	Instance   string  `json:"instance,omitempty" doc:"target at the gate"`
	Outcome    string  `json:"outcome" doc:"answered, not_run or unknown"`
	Reason     string  `json:"reason" doc:"why"`
	Status     int     `json:"status,omitempty" doc:"of the target's answer"`
	Importance int     `json:"importance" doc:"place in the queue"`
	WaitMS     float64 `json:"wait_ms" doc:"wait for a slot"`
	TookMS     float64 `json:"took_ms" doc:"from arrival to reply"`
	LeftMS     float64 `json:"left_ms" doc:"time that the request had at its arrival"`
	Running    int     `json:"running" doc:"requests at the target at the end"`
	Waiting    int     `json:"waiting" doc:"requests waiting at the end"`
	Slots      int     `json:"slots" doc:"usable slots of the target"`
	Repeat     bool    `json:"repeat,omitempty" doc:"it, or a request above it, was sent before"`
}

// Crash is the end of the target beside the node while it ran requests.
type Crash struct {
	Instance string     `json:"instance" doc:"incarnation of the target that ended"`
	Service  string     `json:"service" doc:"its service"`
	Requests int        `json:"requests" doc:"requests that it was running, or that their senders had left less than a second before"`
	Running  []CrashRun `json:"running" doc:"the first 100 of them"`
}

// CrashRun is a request that a target was running when it ended.
type CrashRun struct {
	Request string `json:"request" doc:"id of the request"`
	Route   string `json:"route" doc:"its route"`
	Digest  string `json:"digest" doc:"of method, host, path and body; the same when it comes again"`
}

// HeldBack is a change of which requests are held back since targets ended with them.
type HeldBack struct {
	Change  string `json:"change" doc:"held back, let go (it has ended well, or an operator lifted it) or not read (what the store has)"`
	Digest  string `json:"digest,omitempty" doc:"of method, host, path and body"`
	Service string `json:"service,omitempty" doc:"whose targets ended"`
	Route   string `json:"route,omitempty" doc:"route of the request"`
	Ends    int    `json:"ends,omitempty" doc:"ends of targets that it was at"`
	Error   string `json:"error,omitempty" doc:"why it was not read"`
}

// Settle is the question what became of a request that may run at most once.
type Settle struct {
	Request string `json:"request" doc:"id of the request"`
	From    string `json:"from" doc:"node that asked"`
	Outcome string `json:"outcome" doc:"answered, not_run (it was fenced) or unknown"`
	Reason  string `json:"reason" doc:"why"`
}

// Configuration is a configuration that came in force or was refused.
type Configuration struct {
	Version uint64 `json:"version" doc:"its version"`
	Before  uint64 `json:"before" doc:"version in force before"`
	Routes  int    `json:"routes" doc:"number of its routes"`
	Tenants int    `json:"tenants,omitempty" doc:"number of its tenants"`
	Source  string `json:"source" doc:"store or peer"`
	Error   string `json:"error,omitempty" doc:"why it was refused"`
}

// Target is a change of the target beside the node.
type Target struct {
	Instance string `json:"instance" doc:"incarnation of the target"`
	Service  string `json:"service" doc:"its service"`
	Change   string `json:"change" doc:"ready, draining, left or replaced"`
	Slots    int    `json:"slots" doc:"its slots"`
	Sequence int64  `json:"sequence" doc:"number of the heartbeat that said so"`
}

// Member is a change of what the node believes of another one.
type Member struct {
	Member      string `json:"member" doc:"the other node"`
	Change      string `json:"change" doc:"learned, lapsed (the store has lost its record), forgotten (it counts as gone), silent or heard again"`
	Incarnation string `json:"incarnation,omitempty" doc:"process of the other node"`
	Service     string `json:"service,omitempty" doc:"service of its target"`
	Instance    string `json:"instance,omitempty" doc:"its target"`
	Serving     bool   `json:"serving" doc:"it takes new work"`
	Source      string `json:"source,omitempty" doc:"store or peer"`
}

// Store is a change of the store's reach.
type Store struct {
	Change string  `json:"change" doc:"lost, limited, regained, followed (the node reads the store for its zone) or unfollowed"`
	Call   string  `json:"call,omitempty" doc:"call that failed"`
	Error  string  `json:"error,omitempty" doc:"how"`
	AwayMS float64 `json:"away_ms,omitempty" doc:"how long it was away"`
}

// Freshness tells when requests with keys begin to be refused since the configuration was
// not confirmed lately, and when that ends.
type Freshness struct {
	Change  string  `json:"change" doc:"unconfirmed (requests with keys are refused) or confirmed"`
	Version uint64  `json:"version" doc:"that was the newest when it was confirmed last"`
	AgeMS   float64 `json:"age_ms" doc:"how long ago that was"`
}

// Keeper is a change of what the node does as the keeper of quotas.
type Keeper struct {
	Shard  int    `json:"shard" doc:"group of tenants"`
	Change string `json:"change" doc:"taken over, not taken over, names not written, paused (the right to give ran out), resumed or ended"`
	Epoch  int64  `json:"epoch,omitempty" doc:"number of the taking over, the store's revision then"`
	Listed int    `json:"listed,omitempty" doc:"nodes that may hold parts of the keeper before"`
	Error  string `json:"error,omitempty" doc:"why"`
}

// Node is a change of the process itself.
type Node struct {
	Change      string  `json:"change" doc:"started, reloaded, reload refused, woke (from a suspension of the machine), stopping, stopped or panic"`
	Incarnation string  `json:"incarnation,omitempty" doc:"this run of the process"`
	InFlight    int64   `json:"in_flight,omitempty" doc:"requests in flight"`
	TookMS      float64 `json:"took_ms,omitempty" doc:"of the stop, or of the suspension"`
	Error       string  `json:"error,omitempty" doc:"why a reload was refused"`
}

// Omitted says how many lines of a kind were left out in the last second.
type Omitted struct {
	Of    string `json:"of" doc:"kind of the lines"`
	Lines int    `json:"lines" doc:"how many"`
}

// Kind implements Event.
func (Request) Kind() string { return "request" }

// Kind implements Event.
func (Run) Kind() string { return "run" }

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

// All gives one event of each kind, for the reference page.
func All() []Event {
	return []Event{Request{}, Run{}, Crash{}, HeldBack{}, Settle{}, Configuration{}, Target{}, Member{}, Store{}, Freshness{}, Keeper{}, Node{}, Omitted{}}
}

// Milliseconds gives a span as it stands in the log.
func Milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }
