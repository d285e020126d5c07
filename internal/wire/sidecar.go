// Package wire defines the messages that sidecar nodes exchange and the records that they keep in
// the store. Names on the wire must not change, since nodes of the previous release read them.
// docs/PROTOCOL.md lists the messages.
package wire

import (
	"time"

	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/core/outcome"
)

// Header names used between sidecar nodes.
const (
	HeaderSidecarResult = "Landingmast-Sidecar-Result"
	HeaderSidecarPong   = "Landingmast-Sidecar-Pong"
	HeaderSidecarWaits  = "Landingmast-Sidecar-Waits"
	HeaderSidecarUsage  = "Landingmast-Sidecar-Usage"
	// HeaderSidecarPace carries two figures in percent, separated by a comma: how long work takes at the
	// target now, which the reported service time contains, and while the request ran; 0: unknown.
	HeaderSidecarPace = "Landingmast-Sidecar-Pace"
)

// CallSeparator separates the request ID from the suffix that identifies a downstream call made
// on behalf of that request.
const CallSeparator = "."

// SidecarCall is the metadata of a request sent from the entry node to the node next to the
// target. It includes method, URI and host; the request's other headers are forwarded unchanged.
type SidecarCall struct {
	RequestID   string `avro:"request_id"`
	Method      string `avro:"method"`
	URI         string `avro:"uri"`
	Host        string `avro:"host"`
	Service     string `avro:"service"`
	Route       string `avro:"route"`
	Caller      string `avro:"caller"` // service of the machine where the request originated
	From        string `avro:"from"`
	Incarnation string `avro:"incarnation"` // expected incarnation of the receiver; empty: any
	Importance  int    `avro:"importance"`  // lower values are served first
	Idempotent  bool   `avro:"repeatable"`
	IsRetry     bool   `avro:"repeat"`       // this request or one of its ancestors is a retry
	Attempt     int    `avro:"attempt"`      // attempt number, starting at 0
	Key         string `avro:"key"`          // identifies this attempt of an at-most-once request
	Remaining   int64  `avro:"remaining_us"` // time until the deadline
	Version     int64  `avro:"version"`      // configuration version of the sender
	// RetryGrant is the fraction of the retry budgets, 0 to 1, that upstream nodes leave to
	// downstream calls. It is sent in a separate header.
	RetryGrant float64 `avro:"-"`
	// Tenant is the name of the tenant that the request belongs to; empty: none. It is sent in a
	// separate header.
	Tenant string `avro:"-"`
	// NeedClass orders the chains of one priority at targets that are scarce, from 1 for the smallest
	// need to MaxNeedClass; 0: unknown, or none comes near. It is sent in a separate header.
	NeedClass int `avro:"-"`
	// Scarce reports whether that service had a congestion price when the chain began. It is sent
	// with NeedClass.
	Scarce bool `avro:"-"`
	// Suspect is set if a target has terminated while running the request, and Trial if the
	// sender is the only node that may send it nevertheless. Both are sent in a separate header.
	Suspect, Trial bool `avro:"-"`
	// TargetState is what the sender knows that the target states; nil: nothing. It is sent in
	// HeaderTargetState.
	TargetState *outcome.TargetState `avro:"-"`
}

// SidecarResult is the metadata of a response.
type SidecarResult struct {
	Outcome     string `avro:"outcome"`
	Reason      string `avro:"reason"`
	Arrived     bool   `avro:"arrived"` // the request reached the target
	Status      int    `avro:"status"`
	Length      int64  `avro:"length"` // body length in bytes; -1: unknown
	RetryAfter  int64  `avro:"retry_after_ms"`
	Incarnation string `avro:"incarnation"`
	Version     int64  `avro:"version"`
	Slots       int    `avro:"slots"`
	Running     int    `avro:"running"`
	Waiting     int    `avro:"waiting"`
	Hold        int64  `avro:"hold_us"` // mean time that a request occupies a slot; 0: unknown
	Downstream  []Need `avro:"below"`   // resources used by downstream calls
}

// OccupancyScale converts occupancies to their wire unit, thousandths.
const OccupancyScale = 1000

// Need describes the demand that one request, including all downstream calls, placed on a service.
type Need struct {
	Service   string `avro:"service"`
	Calls     int    `avro:"calls"`
	Occupancy int    `avro:"occupancy"` // running and queued requests, in thousandths of the slots; -1: unknown
	// Wait is the mean time that a call waited for a slot. It is sent in Waits.
	Wait time.Duration `avro:"-"`
	// SlotTime is the time that the calls occupied slots, all of them together, and Offered the mean
	// offered load of the targets that they reached, relative to what these provide; 0: unknown.
	// TenantLoad is the mean slot time that the tenant of the request asks of those targets, relative to
	// its fair share there; 0: unknown. All are sent in Usage.
	SlotTime   time.Duration `avro:"-"`
	Offered    float64       `avro:"-"`
	TenantLoad float64       `avro:"-"`
}

// Waits accompanies a SidecarResult if the request or a downstream call waited for a slot. It is
// a separate message so that nodes of the previous release can decode the result.
type Waits struct {
	Services []ServiceWait `avro:"services"`
}

// ServiceWait is the time that the calls of a request waited for slots of a service.
type ServiceWait struct {
	Service string `avro:"service"` // empty: the request itself
	Wait    int64  `avro:"wait_us"` // mean per call
}

// Usage accompanies a SidecarResult if the nodes of the targets that the request and its downstream
// calls reached report their offered load. It is a separate message so that nodes of the previous
// release can decode the result.
type Usage struct {
	Services []ServiceUsage `avro:"services"`
}

// ServiceUsage is the slot time that a request took of a service and the load offered to it.
type ServiceUsage struct {
	Service  string `avro:"service"`      // empty: the request itself
	SlotTime int64  `avro:"slot_time_us"` // total over all calls
	Offered  int    `avro:"offered"`      // slot time asked for, in thousandths of what the targets provide
	// TenantLoad is the slot time that the tenant of the request asks for, in thousandths of its fair
	// share; 0: unknown.
	TenantLoad int `avro:"tenant_load"`
}

// Withdrawal takes back the requests of a node that wait for a slot of the receiver's target. Requests at
// the target continue.
type Withdrawal struct {
	Node    string `avro:"node"`
	MaxWait int64  `avro:"max_wait_us"` // requests that are expected to wait less stay; 0: none stays
	Calls   bool   `avro:"calls"`       // also the calls of requests that run at the node's target
}

// NodeRecord describes a sidecar node to the other nodes.
type NodeRecord struct {
	Node            string `avro:"node"`
	Incarnation     string `avro:"incarnation"` // identifies the node's process
	Sequence        int64  `avro:"sequence"`    // incremented with each change within an incarnation
	Started         int64  `avro:"started_ms"`  // wall clock at process start; orders incarnations
	Address         string `avro:"address"`     // address for other nodes
	Zone            string `avro:"zone"`
	Service         string `avro:"service"`
	Instance        string `avro:"instance"` // target instance; empty: none is known
	Slots           int    `avro:"slots"`
	Serving         bool   `avro:"serving"` // accepts new requests
	WarmupRemaining int64  `avro:"cold_ms"` // remaining warm-up time of the target when the record was written
}

// Exchange synchronizes membership and configuration between two nodes.
type Exchange struct {
	Digest        int64        `avro:"digest"`  // digest of the sender's records
	Version       int64        `avro:"version"` // configuration version of the sender
	Records       []NodeRecord `avro:"records"`
	Configuration []byte       `avro:"configuration"` // as uploaded by the operators; empty: not included
	// Buckets are digests of the records, partitioned by a hash of the node name. It is empty
	// as long as only the overall digests have been compared.
	Buckets []int64 `avro:"buckets"`
	// From is the name of the sending node.
	From string `avro:"from"`
	// Removed informs the receiver of a response that the sender considers it removed.
	Removed bool `avro:"gone"`
}

// Broadcast is an update that is broadcast along a tree: the receiver forwards it to the addresses in
// Forward.
type Broadcast struct {
	From           string       `avro:"from"`    // address of the sender, from which the configuration can be fetched
	Forward        []string     `avro:"forward"` // addresses of the nodes to forward the message to
	Version        int64        `avro:"version"` // configuration version of the sender
	Records        []NodeRecord `avro:"records"` // changed records
	Heartbeat      bool         `avro:"beat"`    // the message is a heartbeat of Follower, which follows the store
	Follower       string       `avro:"follower"`
	StoreReachable bool         `avro:"well"`    // Follower is receiving responses from the store
	Missing        []string     `avro:"missing"` // nodes of the zone whose records the store has lost
	Removed        []NodeRecord `avro:"gone"`    // last records of removed nodes
}

// Pong is the response to a liveness probe.
type Pong struct {
	Node             string `avro:"node"`
	StoreUnreachable bool   `avro:"turned_away"` // the store refuses to serve the node
}

// Freshness reports how recently a node confirmed that its configuration is current.
type Freshness struct {
	Known   bool  `avro:"known"`   // the node has a confirmation
	Version int64 `avro:"version"` // version that was confirmed to be the newest
	Age     int64 `avro:"age_us"`  // time between the confirmation and this response
	// Keepers lists the quota keepers known to the node.
	Keepers []Keeper `avro:"keepers"`
}

// Keeper identifies the node that manages the quotas of a shard of tenants.
type Keeper struct {
	Shard       int    `avro:"shard"`
	Node        string `avro:"node"`
	Address     string `avro:"address"`
	Incarnation string `avro:"incarnation"` // identifies the node's process
	Revision    int64  `avro:"revision"`    // store revision of its record; higher is newer
}

// KeeperRecord is the record of a keeper in the store.
type KeeperRecord struct {
	Node        string   `avro:"node"`
	Incarnation string   `avro:"incarnation"`
	Address     string   `avro:"address"`
	Listed      []string `avro:"listed"` // nodes that may hold a share of a limit
	Part        float64  `avro:"part"`   // largest fraction of a limit held by one of them
}

// QuotaRequest requests shares of the limits of a shard of tenants.
type QuotaRequest struct {
	Holder      string        `avro:"holder"` // name and address of the node
	Incarnation string        `avro:"incarnation"`
	Shard       int           `avro:"shard"`
	Complete    bool          `avro:"complete"` // Reports covers every share that the node holds
	Reports     []QuotaReport `avro:"reports"`
}

// QuotaReport describes the demand of a node and its current share of one tenant's limit.
type QuotaReport struct {
	Tenant    string  `avro:"tenant"`
	Demand    float32 `avro:"demand"`  // requests per second
	Need      int     `avro:"need"`    // requests waiting for a token
	Want      int     `avro:"want"`    // tokens requested
	Stock     float32 `avro:"stock"`   // tokens available
	Rate      float32 `avro:"rate"`    // refill rate of the share, tokens per second
	Depth     float32 `avro:"depth"`   // bucket size, tokens
	Epoch     int64   `avro:"epoch"`   // epoch of the keeper that granted the share
	Number    int64   `avro:"number"`  // number of the share within the epoch
	Remaining int64   `avro:"left_us"` // remaining lifetime of the share
}

// QuotaResponse is the response of a keeper to QuotaRequest.
type QuotaResponse struct {
	Keeps      bool             `avro:"keeps"`  // the responder is the keeper of the shard
	Listed     bool             `avro:"listed"` // the requester may hold shares; otherwise it must ask again
	Epoch      int64            `avro:"epoch"`  // epoch of the keeper
	Allotments []QuotaAllotment `avro:"allotments"`
}

// QuotaAllotment is a node's share of one tenant's limit.
type QuotaAllotment struct {
	Tenant     string  `avro:"tenant"`
	Rate       float32 `avro:"rate"`
	Depth      float32 `avro:"depth"`
	Number     int64   `avro:"number"`
	TTL        int64   `avro:"life_us"` // lifetime of the share, counted from when the request was sent
	Tokens     int     `avro:"tokens"`
	RetryAfter int64   `avro:"again_us"`  // delay until more tokens may be available; 0: unknown
	Unsettled  bool    `avro:"unsettled"` // the shares granted by the previous keeper are not yet known
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
	// ExchangeSchemaV2 is the schema of the previous release, without the sender.
	ExchangeSchemaV2 = `{"type":"record","name":"Exchange","fields":[
{"name":"digest","type":"long"},{"name":"version","type":"long"},
{"name":"records","type":{"type":"array","items":` + nodeRecordSchema + `},"default":[]},
{"name":"configuration","type":"bytes","default":""},
{"name":"buckets","type":{"type":"array","items":"long"},"default":[]}]}`
	// ExchangeSchemaV1 is the schema of the first release, which always sent all records.
	ExchangeSchemaV1 = `{"type":"record","name":"Exchange","fields":[
{"name":"digest","type":"long"},{"name":"version","type":"long"},
{"name":"records","type":{"type":"array","items":` + nodeRecordSchema + `},"default":[]},
{"name":"configuration","type":"bytes","default":""}]}`
	waitsSchema = `{"type":"record","name":"Waits","fields":[
{"name":"services","type":{"type":"array","items":{"type":"record","name":"ServiceWait","fields":[
{"name":"service","type":"string"},{"name":"wait_us","type":"long"}]}},"default":[]}]}`
	usageSchema = `{"type":"record","name":"Usage","fields":[
{"name":"services","type":{"type":"array","items":{"type":"record","name":"ServiceUsage","fields":[
{"name":"service","type":"string"},{"name":"slot_time_us","type":"long"},{"name":"offered","type":"int"},
{"name":"tenant_load","type":"int","default":0}]}},"default":[]}]}`
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
	withdrawalSchema = `{"type":"record","name":"Withdrawal","fields":[
{"name":"node","type":"string"},{"name":"max_wait_us","type":"long","default":0},{"name":"calls","type":"boolean","default":false}]}`
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

// MaxMessage is the maximum size of a control message in bytes. The largest messages contain the
// records of all nodes.
const MaxMessage = 4 << 20

// Codecs of the messages between sidecar nodes.
var (
	SidecarCallCodec   = codec.New[SidecarCall](codec.MaxHeader, sidecarCallSchema)
	SidecarResultCodec = codec.New[SidecarResult](codec.MaxHeader, sidecarResultSchema)
	ExchangeCodec      = codec.New[Exchange](MaxMessage, exchangeSchema, ExchangeSchemaV1, ExchangeSchemaV2)
	BroadcastCodec     = codec.New[Broadcast](MaxMessage, newsSchema)
	WaitsCodec         = codec.New[Waits](codec.MaxHeader, waitsSchema)
	UsageCodec         = codec.New[Usage](codec.MaxHeader, usageSchema)
	PongCodec          = codec.New[Pong](codec.MaxHeader, pongSchema)
	WithdrawalCodec    = codec.New[Withdrawal](codec.MaxHeader, withdrawalSchema)
	NodeRecordCodec    = codec.New[NodeRecord](codec.MaxHeader, nodeRecordSchema)
	FreshnessCodec     = codec.New[Freshness](MaxMessage, freshnessSchema)
	KeeperRecordCodec  = codec.New[KeeperRecord](MaxMessage, keeperRecordSchema)
	QuotaRequestCodec  = codec.New[QuotaRequest](MaxMessage, quotaAskSchema)
	QuotaResponseCodec = codec.New[QuotaResponse](MaxMessage, quotaAnswerSchema)
)
