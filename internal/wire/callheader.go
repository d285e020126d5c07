package wire

import (
	"net/http"
	"strconv"
)

// Header names of a call. Fields added to SidecarCall after its first release have their own
// headers, so that nodes of the previous release can decode the call.
const (
	HeaderSidecarCall = "Landingmast-Sidecar-Call"
	// headerGrant carries RetryGrant in thousandths.
	headerGrant = "Landingmast-Grant"
	// headerTenant carries Tenant.
	headerTenant = "Landingmast-Tenant"
	// headerNeedClass carries NeedClass.
	headerNeedClass = "Landingmast-Need-Class"
	// headerSuspect carries suspectValue for Suspect or trialValue for Trial.
	headerSuspect = "Landingmast-Suspect"
)

// Values of headerSuspect.
const (
	suspectValue = "1"
	trialValue   = "2"
)

// grantScale converts a granted fraction to its header value.
const grantScale = 1000

// MaxNeedClass is the largest NeedClass.
const MaxNeedClass = 31

// DefaultGrant is the grant assumed for senders of the previous release, which send none.
const DefaultGrant = 0.5

// EncodeHeaders encodes the call into request headers.
func (c *SidecarCall) EncodeHeaders(header http.Header) error {
	encoded, err := SidecarCallCodec.EncodeHeader(c)
	if err != nil {
		return err
	}
	header.Set(HeaderSidecarCall, encoded)
	header.Set(headerGrant, strconv.Itoa(int(c.RetryGrant*grantScale)))
	if c.Tenant != "" {
		header.Set(headerTenant, c.Tenant)
	}
	if c.NeedClass > 0 {
		header.Set(headerNeedClass, strconv.Itoa(c.NeedClass))
	}
	if value := c.suspectHeader(); value != "" {
		header.Set(headerSuspect, value)
	}
	return EncodeTargetState(header, c.TargetState)
}

// DecodeCall decodes a call from request headers. It returns an error if the sender uses an
// incompatible protocol version; the request has not been executed in that case.
func DecodeCall(header http.Header) (*SidecarCall, error) {
	call, err := SidecarCallCodec.DecodeHeader(header.Get(HeaderSidecarCall))
	if err != nil {
		return nil, err
	}
	value := header.Get(headerSuspect)
	call.RetryGrant = parseGrant(header.Get(headerGrant))
	call.Tenant = header.Get(headerTenant)
	call.NeedClass = parseNeedClass(header.Get(headerNeedClass))
	call.TargetState = DecodeTargetState(header)
	call.Suspect, call.Trial = value == suspectValue, value == trialValue
	return call, nil
}

func (c *SidecarCall) suspectHeader() string {
	switch {
	case c.Trial:
		return trialValue
	case c.Suspect:
		return suspectValue
	}
	return ""
}

// parseNeedClass parses a need class. Nodes of the previous release send none; a value that is malformed
// or out of range counts as none.
func parseNeedClass(text string) int {
	class, err := strconv.Atoi(text)
	if err != nil || class < 0 || class > MaxNeedClass {
		return 0
	}
	return class
}

// parseGrant parses a granted fraction. A value that is missing, malformed or outside 0 to 1
// yields DefaultGrant: accepting a larger one would let the nodes exceed the retry budget.
func parseGrant(text string) float64 {
	thousandths, err := strconv.Atoi(text)
	if err != nil || thousandths < 0 || thousandths > grantScale {
		return DefaultGrant
	}
	return float64(thousandths) / grantScale
}
