package wire

import "github.com/landingmast/landingmast/internal/codec"

// Departures is the record in the store of the target instances next to a node that have announced
// that they leave.
type Departures struct {
	Instances []string `avro:"instances"` // oldest first
}

const departuresSchema = `{"type":"record","name":"Departures","fields":[
{"name":"instances","type":{"type":"array","items":"string"},"default":[]}]}`

// DeparturesCodec encodes and decodes Departures.
var DeparturesCodec = codec.New[Departures](codec.MaxHeader, departuresSchema)
