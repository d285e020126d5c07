// Package wire holds the messages between sidecar nodes and what they keep in the
// store. The names on the wire stay as they are: nodes of the release before read them.
// docs/PROTOCOL.md lists the messages.
package wire

import (
	"time"

	"github.com/landingmast/landingmast/internal/codec"
)

// Names of the headers between sidecar nodes.
const (
	HeaderSidecarResult = "Landingmast-Sidecar-Result"
	HeaderSidecarPong   = "Landingmast-Sidecar-Pong"
	HeaderSidecarWaits  = "Landingmast-Sidecar-Waits"
)

// CallSeparator stands between the id of a request and the part of its own in the id of a call
// that its target makes for it.
const CallSeparator = "."

// SidecarCall is the head of a request from the node where it began to the node
// beside the target. Method, path and host of the request are in the head; its
// headers travel as they are.
type SidecarCall struct {
	RequestID   string `avro:"request_id"`
	Method      string `avro:"method"`
	URI         string `avro:"uri"`
	Host        string `avro:"host"`
	Service     string `avro:"service"`
	Route       string `avro:"route"`
	Caller      string `avro:"caller"` // service of the machine where the request began
	From        string `avro:"from"`
	Incarnation string `avro:"incarnation"` // of the receiver, as the sender knows it; empty: any
	Importance  int    `avro:"importance"`  // lower goes first
	Repeatable  bool   `avro:"repeatable"`
	Repeat      bool   `avro:"repeat"`       // this request, or one above it, has been sent before
	Attempt     int    `avro:"attempt"`      // number of this sending, from 0
	Key         string `avro:"key"`          // of this sending, for requests that may run at most once
	Remaining   int64  `avro:"remaining_us"` // until the request is given up
	Version     int64  `avro:"version"`      // of the configuration that the sender has
	// Granted is the part of the budgets for repeats that the nodes above leave to the
	// request's calls, 0 to 1. It travels in a header of its own, so that nodes of the
	// release before read the call.
	Granted float64 `avro:"-"`
	// Tenant is the name of the tenant that the request belongs to, empty: none. It travels
	// in a header of its own.
	Tenant string `avro:"-"`
	// Suspect tells that a target has ended while it ran the request, and Trial that the
	// sender alone may send it, though targets ended with it. They travel in a header of their
	// own.
	Suspect, Trial bool `avro:"-"`
}

// SidecarResult is the head of the answer.
type SidecarResult struct {
	Outcome     string `avro:"outcome"`
	Reason      string `avro:"reason"`
	Arrived     bool   `avro:"arrived"` // the request reached the target
	Status      int    `avro:"status"`
	Length      int64  `avro:"length"` // of the body; -1: unknown
	RetryAfter  int64  `avro:"retry_after_ms"`
	Incarnation string `avro:"incarnation"`
	Version     int64  `avro:"version"`
	Slots       int    `avro:"slots"`
	Running     int    `avro:"running"`
	Waiting     int    `avro:"waiting"`
	Hold        int64  `avro:"hold_us"`
	Below       []Need `avro:"below"` // what the request needed of other services
}

// OccupancyScale is the factor of occupancies in messages: they travel in thousandths.
const OccupancyScale = 1000

// Need is what one request, with all calls below it, needed of a service.
type Need struct {
	Service   string `avro:"service"`
	Calls     int    `avro:"calls"`
	Occupancy int    `avro:"occupancy"` // requests at the target and waiting, in thousandths of its slots; -1: unknown
	// Wait is how long one call waited there for a slot, mean over the calls; it travels
	// in Waits.
	Wait time.Duration `avro:"-"`
}

// Waits goes with a SidecarResult when the request or a call below it waited for a
// slot. It is a message of its own, so that nodes of the release before read the result.
type Waits struct {
	Services []ServiceWait `avro:"services"`
}

// ServiceWait is how long a request's calls waited for slots of a service.
type ServiceWait struct {
	Service string `avro:"service"` // empty: the request itself
	Wait    int64  `avro:"wait_us"` // of one call, mean over the calls
}

// NodeRecord is what a sidecar node tells the others of itself.
type NodeRecord struct {
	Node        string `avro:"node"`
	Incarnation string `avro:"incarnation"` // of the node's process
	Sequence    int64  `avro:"sequence"`    // rises with each change within an incarnation
	Started     int64  `avro:"started_ms"`  // wall clock at the start of the process, to order incarnations
	Address     string `avro:"address"`     // for other nodes
	Zone        string `avro:"zone"`
	Service     string `avro:"service"`
	Instance    string `avro:"instance"` // of the target; empty: none is known
	Slots       int    `avro:"slots"`
	Serving     bool   `avro:"serving"` // takes new work
	Cold        int64  `avro:"cold_ms"` // how much longer the target is slow, from the writing on
}

// Exchange is what nodes tell each other of members and configuration.
type Exchange struct {
	Digest        int64        `avro:"digest"`  // of the records that the sender has
	Version       int64        `avro:"version"` // of the configuration that it has
	Records       []NodeRecord `avro:"records"`
	Configuration []byte       `avro:"configuration"` // in the operators' form; empty: none is sent
	// Buckets are the digests of the records by hash of the node's name; none: only
	// the whole digest was compared so far.
	Buckets []int64 `avro:"buckets"`
	// From is the node that sends the message.
	From string `avro:"from"`
	// Gone tells the receiver of an answer that it is taken for gone.
	Gone bool `avro:"gone"`
}

// News is what a node tells others at once. It travels along a tree: the receiver
// passes it on to the addresses in Forward.
type News struct {
	From     string       `avro:"from"`    // address of the sender, to ask for what Version names
	Forward  []string     `avro:"forward"` // addresses of the nodes to pass it on to
	Version  int64        `avro:"version"` // of the configuration that the sender has
	Records  []NodeRecord `avro:"records"` // that have changed
	Beat     bool         `avro:"beat"`    // Follower follows the store
	Follower string       `avro:"follower"`
	Well     bool         `avro:"well"`    // Follower hears the store
	Missing  []string     `avro:"missing"` // nodes of the zone whose records the store has lost
	Gone     []NodeRecord `avro:"gone"`    // the last records of nodes that are gone
}

// Pong is the answer to a question whether a node lives.
type Pong struct {
	Node       string `avro:"node"`
	TurnedAway bool   `avro:"turned_away"` // the store does not serve it
}

// Freshness answers the question how fresh a node's configuration is.
type Freshness struct {
	Known   bool  `avro:"known"`   // the node has evidence
	Version int64 `avro:"version"` // that was the newest when it was confirmed
	Age     int64 `avro:"age_us"`  // how long before the answer it was confirmed
	// Keepers are those of the quotas that the node knows of.
	Keepers []Keeper `avro:"keepers"`
}

// Keeper names the node that keeps the quotas of a group of tenants.
type Keeper struct {
	Shard       int    `avro:"shard"`
	Node        string `avro:"node"`
	Address     string `avro:"address"`
	Incarnation string `avro:"incarnation"` // of its process
	Revision    int64  `avro:"revision"`    // of its record in the store; a higher one is newer
}

// KeeperRecord is what a keeper keeps in the store.
type KeeperRecord struct {
	Node        string   `avro:"node"`
	Incarnation string   `avro:"incarnation"`
	Address     string   `avro:"address"`
	Listed      []string `avro:"listed"` // nodes that may hold parts of limits
	Part        float64  `avro:"part"`   // most of a limit that one of them holds
}

// QuotaAsk is the question of a node for parts of the limits of a group of tenants.
type QuotaAsk struct {
	Holder      string        `avro:"holder"` // name of the node and its address
	Incarnation string        `avro:"incarnation"`
	Shard       int           `avro:"shard"`
	Complete    bool          `avro:"complete"` // Reports tell all that the node holds
	Reports     []QuotaReport `avro:"reports"`
}

// QuotaReport is what a node needs and holds of one tenant's limit.
type QuotaReport struct {
	Tenant string  `avro:"tenant"`
	Demand float32 `avro:"demand"` // requests a second
	Need   int     `avro:"need"`   // requests that wait for a token
	Want   int     `avro:"want"`   // tokens
	Stock  float32 `avro:"stock"`  // tokens that it has
	Rate   float32 `avro:"rate"`   // of its share, tokens a second
	Depth  float32 `avro:"depth"`  // most tokens in stock
	Epoch  int64   `avro:"epoch"`  // of the keeper that gave the share
	Number int64   `avro:"number"` // of the share there
	Left   int64   `avro:"left_us"`
}

// QuotaAnswer is a keeper's answer.
type QuotaAnswer struct {
	Keeps      bool             `avro:"keeps"`  // the node keeps the quotas of the group
	Listed     bool             `avro:"listed"` // the asking node may hold parts; else it is to ask again
	Epoch      int64            `avro:"epoch"`  // of the keeper
	Allotments []QuotaAllotment `avro:"allotments"`
}

// QuotaAllotment is a node's part of one tenant's limit.
type QuotaAllotment struct {
	Tenant    string  `avro:"tenant"`
	Rate      float32 `avro:"rate"`
	Depth     float32 `avro:"depth"`
	Number    int64   `avro:"number"`
	Life      int64   `avro:"life_us"` // of the share, from the begin of the question
	Tokens    int     `avro:"tokens"`
	Again     int64   `avro:"again_us"` // when there may be more tokens; 0: no guess
	Unsettled bool    `avro:"unsettled"`
}

const (
	freshnessSchema = `{"type":"record","name":"Freshness","fields":[
{"name":"known","type":"boolean"},{"name":"version","type":"long"},{"name":"age_us","type":"long"},
{"name":"keepers","type":{"type":"array","items":{"type":"record","name":"Keeper","fields":[
{"name":"shard","type":"int"},{"name":"node","type":"string"},{"name":"address","type":"string"},
{"name":"incarnation","type":"string"},{"name":"revision","type":"long"}]}},"default":[]}]}`
	keeperRecordSchema = `{"type":"record","name":"KeeperRecord","fields":[
{"name":"node","type":"string"},{"name":"incarnation","type":"string"},{"name":"address","type":"string"},
{"name":"listed","type":{"type":"array","items":"string"},"default":[]},{"name":"part","type":"double","default":1}]}`
	quotaAskSchema = `{"type":"record","name":"QuotaAsk","fields":[
{"name":"holder","type":"string"},{"name":"incarnation","type":"string"},{"name":"shard","type":"int"},
{"name":"complete","type":"boolean"},
{"name":"reports","type":{"type":"array","items":{"type":"record","name":"QuotaReport","fields":[
{"name":"tenant","type":"string"},{"name":"demand","type":"float"},{"name":"need","type":"int"},{"name":"want","type":"int"},{"name":"stock","type":"float"},
{"name":"rate","type":"float"},{"name":"depth","type":"float"},
{"name":"epoch","type":"long"},{"name":"number","type":"long"},{"name":"left_us","type":"long"}]}},"default":[]}]}`
	quotaAnswerSchema = `{"type":"record","name":"QuotaAnswer","fields":[
{"name":"keeps","type":"boolean"},{"name":"listed","type":"boolean"},{"name":"epoch","type":"long"},
{"name":"allotments","type":{"type":"array","items":{"type":"record","name":"QuotaAllotment","fields":[
{"name":"tenant","type":"string"},{"name":"rate","type":"float"},{"name":"depth","type":"float"},
{"name":"number","type":"long"},{"name":"life_us","type":"long"},
{"name":"tokens","type":"int"},{"name":"again_us","type":"long"},{"name":"unsettled","type":"boolean"}]}},"default":[]}]}`
	exchangeSchema = `{"type":"record","name":"Exchange","fields":[
{"name":"digest","type":"long"},{"name":"version","type":"long"},
{"name":"records","type":{"type":"array","items":` + nodeRecordSchema + `},"default":[]},
{"name":"configuration","type":"bytes","default":""},
{"name":"buckets","type":{"type":"array","items":"long"},"default":[]},
{"name":"from","type":"string","default":""},{"name":"gone","type":"boolean","default":false}]}`
	// ExchangeSchema2 is that of the release before, which did not name the sender.
	ExchangeSchema2 = `{"type":"record","name":"Exchange","fields":[
{"name":"digest","type":"long"},{"name":"version","type":"long"},
{"name":"records","type":{"type":"array","items":` + nodeRecordSchema + `},"default":[]},
{"name":"configuration","type":"bytes","default":""},
{"name":"buckets","type":{"type":"array","items":"long"},"default":[]}]}`
	// ExchangeSchema1 is that of the first release, which sent all records at once.
	ExchangeSchema1 = `{"type":"record","name":"Exchange","fields":[
{"name":"digest","type":"long"},{"name":"version","type":"long"},
{"name":"records","type":{"type":"array","items":` + nodeRecordSchema + `},"default":[]},
{"name":"configuration","type":"bytes","default":""}]}`
	waitsSchema = `{"type":"record","name":"Waits","fields":[
{"name":"services","type":{"type":"array","items":{"type":"record","name":"ServiceWait","fields":[
{"name":"service","type":"string"},{"name":"wait_us","type":"long"}]}},"default":[]}]}`
	newsSchema = `{"type":"record","name":"News","fields":[
{"name":"from","type":"string"},{"name":"forward","type":{"type":"array","items":"string"},"default":[]},
{"name":"version","type":"long","default":0},
{"name":"records","type":{"type":"array","items":` + nodeRecordSchema + `},"default":[]},
{"name":"beat","type":"boolean","default":false},{"name":"follower","type":"string","default":""},
{"name":"well","type":"boolean","default":false},
{"name":"missing","type":{"type":"array","items":"string"},"default":[]},
{"name":"gone","type":{"type":"array","items":"NodeRecord"},"default":[]}]}`
	pongSchema = `{"type":"record","name":"Pong","fields":[
{"name":"node","type":"string"},{"name":"turned_away","type":"boolean","default":false}]}`
	sidecarCallSchema = `{"type":"record","name":"SidecarCall","fields":[
{"name":"request_id","type":"string"},{"name":"method","type":"string"},{"name":"uri","type":"string"},
{"name":"host","type":"string"},{"name":"service","type":"string"},{"name":"route","type":"string","default":""},
{"name":"caller","type":"string","default":""},{"name":"from","type":"string","default":""},
{"name":"incarnation","type":"string","default":""},{"name":"importance","type":"int","default":0},
{"name":"repeatable","type":"boolean","default":false},{"name":"repeat","type":"boolean","default":false},
{"name":"attempt","type":"int","default":0},{"name":"key","type":"string","default":""},{"name":"remaining_us","type":"long"},
{"name":"version","type":"long","default":0}]}`
	sidecarResultSchema = `{"type":"record","name":"SidecarResult","fields":[
{"name":"outcome","type":"string"},{"name":"reason","type":"string"},{"name":"arrived","type":"boolean","default":false},
{"name":"status","type":"int","default":0},{"name":"length","type":"long","default":-1},
{"name":"retry_after_ms","type":"long","default":0},{"name":"incarnation","type":"string","default":""},
{"name":"version","type":"long","default":0},{"name":"slots","type":"int","default":0},
{"name":"running","type":"int","default":0},{"name":"waiting","type":"int","default":0},{"name":"hold_us","type":"long","default":0},
{"name":"below","type":{"type":"array","items":{"type":"record","name":"Need","fields":[
{"name":"service","type":"string"},{"name":"calls","type":"int"},{"name":"occupancy","type":"int","default":-1}]}},"default":[]}]}`
	nodeRecordSchema = `{"type":"record","name":"NodeRecord","fields":[
{"name":"node","type":"string"},{"name":"incarnation","type":"string"},{"name":"sequence","type":"long"},
{"name":"started_ms","type":"long","default":0},{"name":"address","type":"string"},{"name":"zone","type":"string"},
{"name":"service","type":"string"},{"name":"instance","type":"string","default":""},{"name":"slots","type":"int","default":0},
{"name":"serving","type":"boolean","default":false},{"name":"cold_ms","type":"long","default":0}]}`
)

// MaxMessage bounds a message of control between nodes, in bytes; the largest holds the
// records of all nodes.
const MaxMessage = 4 << 20

// Codecs of the messages between sidecar nodes.
var (
	SidecarCallCodec   = codec.New[SidecarCall](codec.MaxHeader, sidecarCallSchema)
	SidecarResultCodec = codec.New[SidecarResult](codec.MaxHeader, sidecarResultSchema)
	ExchangeCodec      = codec.New[Exchange](MaxMessage, exchangeSchema, ExchangeSchema1, ExchangeSchema2)
	NewsCodec          = codec.New[News](MaxMessage, newsSchema)
	WaitsCodec         = codec.New[Waits](codec.MaxHeader, waitsSchema)
	PongCodec          = codec.New[Pong](codec.MaxHeader, pongSchema)
	NodeRecordCodec    = codec.New[NodeRecord](codec.MaxHeader, nodeRecordSchema)
	FreshnessCodec     = codec.New[Freshness](MaxMessage, freshnessSchema)
	KeeperRecordCodec  = codec.New[KeeperRecord](MaxMessage, keeperRecordSchema)
	QuotaAskCodec      = codec.New[QuotaAsk](MaxMessage, quotaAskSchema)
	QuotaAnswerCodec   = codec.New[QuotaAnswer](MaxMessage, quotaAnswerSchema)
)
