package wire

import (
	"net/http"
	"strconv"
)

// Names of the headers of a call. What a release has added to SidecarCall travels in a
// header of its own, so that nodes of the release before read the call.
const (
	HeaderSidecarCall = "Landingmast-Sidecar-Call"
	// headerGrant has Granted, in thousandths.
	headerGrant = "Landingmast-Grant"
	// headerTenant has Tenant.
	headerTenant = "Landingmast-Tenant"
	// headerSuspect has suspectMark for Suspect, trialMark for Trial.
	headerSuspect = "Landingmast-Suspect"
)

// Values of headerSuspect.
const (
	suspectMark = "1"
	trialMark   = "2"
)

// grantScale is the factor of a granted part in its header.
const grantScale = 1000

// GrantUnsaid is the part that a sender of the release before leaves to the calls.
const GrantUnsaid = 0.5

// SetHeaders writes the call into the headers of a request.
func (c *SidecarCall) SetHeaders(header http.Header) error {
	head, err := SidecarCallCodec.EncodeHeader(c)
	if err != nil {
		return err
	}
	header.Set(HeaderSidecarCall, head)
	header.Set(headerGrant, strconv.Itoa(int(c.Granted*grantScale)))
	if c.Tenant != "" {
		header.Set(headerTenant, c.Tenant)
	}
	if mark := c.mark(); mark != "" {
		header.Set(headerSuspect, mark)
	}
	return nil
}

// CallFrom reads a call out of the headers of a request. An error means that the sender
// speaks another protocol; the request has not run.
func CallFrom(header http.Header) (*SidecarCall, error) {
	call, err := SidecarCallCodec.DecodeHeader(header.Get(HeaderSidecarCall))
	if err != nil {
		return nil, err
	}
	mark := header.Get(headerSuspect)
	call.Granted = granted(header.Get(headerGrant))
	call.Tenant = header.Get(headerTenant)
	call.Suspect, call.Trial = mark == suspectMark, mark == trialMark
	return call, nil
}

func (c *SidecarCall) mark() string {
	switch {
	case c.Trial:
		return trialMark
	case c.Suspect:
		return suspectMark
	}
	return ""
}

// granted reads a granted part. Anything but 0 to 1 would let the nodes together repeat
// more than the bound on repeats allows: it counts as unsaid.
func granted(text string) float64 {
	thousandths, err := strconv.Atoi(text)
	if err != nil || thousandths < 0 || thousandths > grantScale {
		return GrantUnsaid
	}
	return float64(thousandths) / grantScale
}
