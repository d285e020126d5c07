package arrival

import (
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/target"
	"github.com/landingmast/landingmast/internal/wire"
)

// Withdraw refuses the requests of a node that wait for a slot of the target, so that the node can answer
// them before it stops.
func (i *Ingress) Withdraw(withdrawal *wire.Withdrawal) {
	maxWait := time.Duration(withdrawal.MaxWait) * time.Microsecond
	i.withdraw(slots.ReasonWithdrawn, maxWait, func(origin target.Origin) bool {
		return origin.Node == withdrawal.Node && (withdrawal.Calls || !origin.IsCall)
	})
}

// WithdrawOthers refuses the requests of other nodes that wait for a slot of the target, as those that
// arrive are refused: this node stops.
func (i *Ingress) WithdrawOthers() {
	i.withdraw(slots.Reason(outcome.ReasonStopping), 0, func(origin target.Origin) bool { return origin.Node != i.options.Node })
}

func (i *Ingress) withdraw(reason slots.Reason, maxWait time.Duration, matches func(target.Origin) bool) {
	if gate := i.options.Target.Current(); gate != nil {
		gate.Withdraw(reason, maxWait, matches)
	}
}

// ServeWithdrawal serves the withdrawal of another node. The requests that it ends are answered on their
// own connections.
func (i *Ingress) ServeWithdrawal(w http.ResponseWriter, r *http.Request) {
	if withdrawal, valid := peer.ReadMessage(w, r, wire.WithdrawalCodec); valid {
		i.Withdraw(withdrawal)
		peer.OmitDefaultHeaders(w)
	}
}
