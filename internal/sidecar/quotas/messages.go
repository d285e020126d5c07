package quotas

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/quota"
	"github.com/landingmast/landingmast/internal/wire"
)

// The functions in this file convert between the types of package quota and their wire
// messages. Shares are rounded to single precision; both sides use the rounded value.

func reportToWire(r quota.Report) wire.QuotaReport {
	return wire.QuotaReport{
		Tenant: r.Tenant, Demand: float32(r.Demand), Need: r.Waiting, Want: r.Requested, Stock: float32(r.Tokens), Rate: float32(r.Share.Rate), Depth: float32(r.Share.Depth),
		Epoch: r.Grant.Epoch, Number: r.Grant.Number, Remaining: r.Remaining.Microseconds(),
	}
}

func reportFromWire(r *wire.QuotaReport) quota.Report {
	return quota.Report{
		Tenant: r.Tenant, Demand: float64(r.Demand), Waiting: r.Need, Requested: r.Want, Tokens: float64(r.Stock), Share: quota.Share{Rate: float64(r.Rate), Depth: float64(r.Depth)},
		Grant: quota.GrantID{Epoch: r.Epoch, Number: r.Number}, Remaining: time.Duration(r.Remaining) * time.Microsecond,
	}
}

func allotmentToWire(a quota.Allotment) wire.QuotaAllotment {
	return wire.QuotaAllotment{
		Tenant: a.Tenant, Rate: float32(a.Share.Rate), Depth: float32(a.Share.Depth), Number: a.Grant.Number,
		TTL: a.TTL.Microseconds(), Tokens: a.Tokens, RetryAfter: a.RetryAfter.Microseconds(), Unsettled: a.Unsettled,
	}
}

func allotmentFromWire(epoch int64, a *wire.QuotaAllotment) quota.Allotment {
	return quota.Allotment{
		Tenant: a.Tenant, Share: quota.Share{Rate: float64(a.Rate), Depth: float64(a.Depth)}, Grant: quota.GrantID{Epoch: epoch, Number: a.Number},
		TTL: time.Duration(a.TTL) * time.Microsecond, Tokens: a.Tokens, RetryAfter: time.Duration(a.RetryAfter) * time.Microsecond, Unsettled: a.Unsettled,
	}
}
