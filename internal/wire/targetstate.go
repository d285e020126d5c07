package wire

import (
	"net/http"

	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
)

// HeaderTargetState carries a TargetState: in a response, the state that the target's node keeps
// to; in a call, the state that the sender knows. It is absent if the target states nothing.
const HeaderTargetState = "Landingmast-Target-State"

// TargetState is what a target states about itself. It is a message of its own so that nodes of the
// previous release can read calls and results.
type TargetState struct {
	Instance  string  `avro:"instance"`
	RateLimit float64 `avro:"rate_limit"` // requests per second; noRateLimit: none
	Leaving   bool    `avro:"leaving"`
}

// noRateLimit is the RateLimit of a target that states none.
const noRateLimit = -1

const targetStateSchema = `{"type":"record","name":"TargetState","fields":[
{"name":"instance","type":"string"},{"name":"rate_limit","type":"double","default":-1},
{"name":"leaving","type":"boolean","default":false}]}`

// TargetStateCodec is the codec of TargetState.
var TargetStateCodec = codec.New[TargetState](codec.MaxHeader, targetStateSchema)

// EncodeTargetState adds the state to a header. nil is left out.
func EncodeTargetState(header http.Header, state *outcome.TargetState) error {
	if state == nil {
		return nil
	}
	message := &TargetState{Instance: state.Instance, RateLimit: state.RateLimit, Leaving: state.Leaving}
	if state.RateLimit == ratelimit.Unlimited {
		message.RateLimit = noRateLimit
	}
	encoded, err := TargetStateCodec.EncodeHeader(message)
	if err != nil {
		return err
	}
	header.Set(HeaderTargetState, encoded)
	return nil
}

// DecodeTargetState reads the state from a header. It returns nil if there is none, or one that only
// a later release can read: the receiver then follows what the target states in its responses.
func DecodeTargetState(header http.Header) *outcome.TargetState {
	encoded := header.Get(HeaderTargetState)
	if encoded == "" {
		return nil
	}
	message, err := TargetStateCodec.DecodeHeader(encoded)
	if err != nil {
		return nil
	}
	state := &outcome.TargetState{Instance: message.Instance, RateLimit: message.RateLimit, Leaving: message.Leaving}
	if message.RateLimit < 0 {
		state.RateLimit = ratelimit.Unlimited
	}
	return state
}
