package reply

import (
	"strconv"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/core/pace"
)

// EncodePace encodes the paces of the target; it returns an empty string if none is known now.
func EncodePace(r *Reply) string {
	if r.Load.Pace <= 0 {
		return ""
	}
	return formatPercent(r.Load.Pace) + "," + formatPercent(r.RunPace)
}

func formatPercent(factor float64) string {
	return strconv.FormatFloat(pace.Percent(factor), 'f', 0, 64)
}

// SetPace decodes the paces of the target into the reply. It ignores those that are not valid.
func (r *Reply) SetPace(head string) {
	now, run, _ := strings.Cut(head, ",")
	r.Load.Pace, r.RunPace = parsePercent(now), parsePercent(run)
}

func parsePercent(text string) float64 {
	percent, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	factor, valid := pace.FromPercent(percent)
	if !valid {
		return 0
	}
	return factor
}

const (
	// minPaceShare bounds the share from below: slot times of parallel and of nested calls are summed,
	// so that they may exceed the time of the request.
	minPaceShare = 0.1
	// callsPaceShare is assumed for a request with calls whose slot times are not known, since the
	// targets' nodes are of the release before.
	callsPaceShare = 0.5
)

// PaceShare returns the part of a span that the request took which depends on the pace of its target,
// not on its downstream calls.
func (r *Reply) PaceShare(span time.Duration) float64 {
	if len(r.Needs) == 0 || span <= 0 {
		return 1
	}
	calls := time.Duration(0)
	for _, need := range r.Needs {
		calls += need.SlotTime
	}
	if calls <= 0 {
		return callsPaceShare
	}
	return max(1-float64(calls)/float64(span), minPaceShare)
}
