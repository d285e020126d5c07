package wire

import (
	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
)

// Topic identifies a document that is replicated to every node.
type Topic string

// Replicated documents.
const (
	TopicBundle   Topic = "bundle"   // signed release
	TopicMachines Topic = "machines" // machines marked as leaving in the platform's machine list
)

// VersionMessage announces the sender's version of a topic. The response carries the
// receiver's version.
type VersionMessage struct {
	From        string `avro:"from"`
	Incarnation string `avro:"incarnation"`
	Topic       Topic  `avro:"topic"`
	Version     int64  `avro:"version"`
}

// Fetch requests a topic's document, as a delta from version Have if possible.
type Fetch struct {
	Topic Topic `avro:"topic"`
	Have  int64 `avro:"have"`
}

// Machines is the subset of the machine list that nodes use: the leaving machines.
type Machines struct {
	Version int64    `avro:"version"`
	Leaving []string `avro:"leaving"`
}

// NameMessage carries one name: the request ID of an explain request or the incarnation in an
// identity reply. It is empty in status requests and acknowledgements.
type NameMessage struct {
	Name string `avro:"name"`
}

// JSONDocument carries an admin API document between peers.
type JSONDocument struct {
	Body []byte `avro:"body"`
}

// Vote sends a claim request to a voter of a service.
type Vote struct {
	Service string        `avro:"service"`
	Voter   string        `avro:"voter"` // incarnation the request is addressed to
	Request claim.Request `avro:"request"`
}

// SealRequest asks a voter to stop accepting votes in an epoch.
type SealRequest struct {
	Service string `avro:"service"`
	Epoch   int64  `avro:"epoch"`
	Voter   string `avro:"voter"`
}

// SealReply returns a voter's claims; it also answers InstallRequest.
type SealReply struct {
	Refusal   string        `avro:"refusal"`
	Installed bool          `avro:"installed"`
	Entries   []claim.Entry `avro:"entries"`
}

// InstallRequest activates a voter in an epoch with the claims of the previous one.
type InstallRequest struct {
	Service string        `avro:"service"`
	Epoch   int64         `avro:"epoch"`
	Voter   string        `avro:"voter"`
	Entries []claim.Entry `avro:"entries"`
}

// VoterSetNotice announces the active voter set; Body is a JSON claim.VoterSet.
type VoterSetNotice struct {
	Body []byte `avro:"body"`
}

const (
	ballotRecord   = `{"type":"record","name":"Ballot","fields":[{"name":"epoch","type":"long"},{"name":"round","type":"long"},{"name":"proposer","type":"string"}]}`
	executorRecord = `{"type":"record","name":"Executor","fields":[{"name":"node","type":"string"},{"name":"incarnation","type":"string"}]}`
	entryRecord    = `{"type":"record","name":"Entry","fields":[{"name":"key","type":"string"},{"name":"promised","type":` + ballotRecord +
		`},{"name":"accepted","type":"Ballot"},{"name":"executor","type":` + executorRecord + `}]}`

	tellSchema     = `{"type":"record","name":"Tell","fields":[{"name":"from","type":"string"},{"name":"incarnation","type":"string"},{"name":"topic","type":"string"},{"name":"version","type":"long"}]}`
	fetchSchema    = `{"type":"record","name":"Fetch","fields":[{"name":"topic","type":"string"},{"name":"have","type":"long"}]}`
	machinesSchema = `{"type":"record","name":"Machines","fields":[{"name":"version","type":"long"},{"name":"leaving","type":{"type":"array","items":"string"}}]}`
	querySchema    = `{"type":"record","name":"Query","fields":[{"name":"name","type":"string","default":""}]}`
	jsonSchema     = `{"type":"record","name":"JSON","fields":[{"name":"body","type":"bytes"}]}`
	releaseSchema  = `{"type":"record","name":"Release","fields":[{"name":"mesh","type":"string"},{"name":"version","type":"long"},
{"name":"roll_id","type":"string"},{"name":"signer","type":"string"},{"name":"digest","type":"bytes"},{"name":"signature","type":"bytes"},
{"name":"base","type":"long","default":0},{"name":"sections","type":{"type":"array","items":{"type":"record","name":"Section","fields":[{"name":"name","type":"string"},{"name":"body","type":"bytes"}]}}},
{"name":"removed","type":{"type":"array","items":"string"}}]}`
	voteSchema = `{"type":"record","name":"Vote","fields":[{"name":"service","type":"string"},{"name":"voter","type":"string"},
{"name":"request","type":{"type":"record","name":"Request","fields":[{"name":"prepare","type":"boolean"},{"name":"key","type":"string"},{"name":"ballot","type":` + ballotRecord +
		`},{"name":"executor","type":` + executorRecord + `}]}}]}`
	replySchema = `{"type":"record","name":"Reply","fields":[{"name":"refusal","type":"string"},{"name":"promised","type":` + ballotRecord +
		`},{"name":"accepted","type":"Ballot"},{"name":"executor","type":` + executorRecord + `},{"name":"epoch","type":"long"}]}`
	sealSchema      = `{"type":"record","name":"SealRequest","fields":[{"name":"service","type":"string"},{"name":"epoch","type":"long"},{"name":"voter","type":"string"}]}`
	sealReplySchema = `{"type":"record","name":"SealReply","fields":[{"name":"refusal","type":"string"},{"name":"installed","type":"boolean"},{"name":"entries","type":{"type":"array","items":` + entryRecord + `}}]}`
	installSchema   = `{"type":"record","name":"InstallRequest","fields":[{"name":"service","type":"string"},{"name":"epoch","type":"long"},{"name":"voter","type":"string"},{"name":"entries","type":{"type":"array","items":` + entryRecord + `}}]}`
	noticeSchema    = `{"type":"record","name":"VoterSetNotice","fields":[{"name":"body","type":"bytes"}]}`
)

// Size limits of control messages, in bytes.
const (
	maxSmallMessage = 16 << 10
	maxLargeMessage = 32 << 20
)

// Codecs of the control messages.
var (
	VersionCodec   = codec.New[VersionMessage](maxSmallMessage, tellSchema)
	FetchCodec     = codec.New[Fetch](maxSmallMessage, fetchSchema)
	MachinesCodec  = codec.New[Machines](maxLargeMessage, machinesSchema)
	QueryCodec     = codec.New[NameMessage](maxSmallMessage, querySchema)
	JSONCodec      = codec.New[JSONDocument](maxLargeMessage, jsonSchema)
	ReleaseCodec   = codec.New[bundle.Release](maxLargeMessage, releaseSchema)
	VoteCodec      = codec.New[Vote](maxSmallMessage, voteSchema)
	ReplyCodec     = codec.New[claim.Reply](maxSmallMessage, replySchema)
	SealCodec      = codec.New[SealRequest](maxSmallMessage, sealSchema)
	SealReplyCodec = codec.New[SealReply](maxLargeMessage, sealReplySchema)
	InstallCodec   = codec.New[InstallRequest](maxLargeMessage, installSchema)
	NoticeCodec    = codec.New[VoterSetNotice](maxLargeMessage, noticeSchema)
)
