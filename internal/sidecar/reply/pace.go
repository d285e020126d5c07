package reply

import (
	"strconv"
	"strings"

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
