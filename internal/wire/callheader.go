package wire

import (
	"net/http"
	"strconv"
	"strings"
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
		header.Set(headerNeedClass, c.needHeader())
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
	call.NeedClass, call.Scarce = parseNeed(header.Get(headerNeedClass))
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

// scarceSuffix follows the need class of a chain that began while the service had a congestion price.
const scarceSuffix = "+"

func (c *SidecarCall) needHeader() string {
	value := strconv.Itoa(c.NeedClass)
	if c.Scarce {
		value += scarceSuffix
	}
	return value
}

// parseNeed parses a need class and whether the service was scarce. Nodes of the previous release send
// none; a value that is malformed or out of range counts as none.
func parseNeed(text string) (class int, scarce bool) {
	digits, scarce := strings.CutSuffix(text, scarceSuffix)
	class, err := strconv.Atoi(digits)
	if err != nil || class <= 0 || class > MaxNeedClass {
		return 0, false
	}
	return class, scarce
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
