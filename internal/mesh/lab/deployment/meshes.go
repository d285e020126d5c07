package deployment

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/units"
)

const (
	get  = "GET"
	post = "POST"
)

// class returns a request class; at-most-once classes get the default key header.
func class(name, service, method, path, importance string, execution bundle.Execution, retries int, deadline time.Duration) bundle.Class {
	result := bundle.Class{
		Name: name, Service: service, Method: method, Path: path, Importance: importance, Execution: execution, Retries: retries,
		Deadline: units.Duration(deadline),
	}
	if execution == bundle.AtMostOnce {
		result.KeyHeader = bundle.DefaultKeyHeader
	}
	return result
}

// CoreArchive returns the core archive mesh: four zones in one region. Reservations
// must not run twice.
func CoreArchive() *Deployment {
	return &Deployment{
		Mesh: "core-archive", Region: "guatemala", Zones: []string{"sm-a", "sm-b", "sm-c", "sm-d"},
		ZoneDelay: 250 * time.Microsecond, ClientDelay: 4 * time.Millisecond,
		Levels: []string{"critical", "high", "normal", "bulk"},
		Services: []Service{
			{Name: "logbook", Targets: 5, MinSlots: 6, MaxSlots: 10, Connections: 120, Routes: []Route{
				{Method: get, Path: "/logs/", Mean: 12 * time.Millisecond, Bytes: 8 << 10, Calls: []DownstreamCall{{"assayhub", get, "/assays/1", false}}},
				{Method: get, Path: "/boxes/", Mean: 5 * time.Millisecond, Bytes: 1 << 10, Calls: []DownstreamCall{{"assayhub", get, "/samples/1", false}}},
			}},
			{Name: "splitdesk", Targets: 4, MinSlots: 6, MaxSlots: 10, Connections: 120, Routes: []Route{
				{Method: post, Path: "/reservations", Mean: 10 * time.Millisecond, Bytes: 512, Calls: []DownstreamCall{{"logbook", get, "/boxes/1", false}}},
			}},
			{Name: "boxshots", Targets: 4, MinSlots: 6, MaxSlots: 10, Connections: 120, Routes: []Route{
				{Method: get, Path: "/photos/", Mean: 30 * time.Millisecond, Bytes: 128 << 10, Calls: []DownstreamCall{{"logbook", get, "/boxes/1", false}}},
			}},
			{Name: "assayhub", Targets: 4, MinSlots: 6, MaxSlots: 10, Connections: 120, Routes: []Route{
				{Method: get, Path: "/assays/", Mean: 8 * time.Millisecond, Bytes: 2 << 10},
				{Method: get, Path: "/samples/", Mean: 4 * time.Millisecond, Bytes: 512},
			}},
		},
		Classes: []bundle.Class{
			class("reserve-split", "splitdesk", post, "/reservations", "critical", bundle.AtMostOnce, 2, 3*time.Second),
			class("borehole-log", "logbook", get, "/logs/", "high", bundle.Repeatable, 3, time.Second),
			class("photo-download", "boxshots", get, "/photos/", "bulk", bundle.Repeatable, 2, 5*time.Second),
			class("box-lookup", "logbook", get, "/boxes/", "normal", bundle.Repeatable, 1, time.Second),
			class("assay-lookup", "assayhub", get, "/assays/", "normal", bundle.Repeatable, 1, time.Second),
			class("sample-lookup", "assayhub", get, "/samples/", "normal", bundle.Repeatable, 1, time.Second),
		},
		Mix: []Traffic{
			{Class: "reserve-split", Service: "splitdesk", Method: post, Path: "/reservations", Share: 0.1, Keyed: true},
			{Class: "borehole-log", Service: "logbook", Method: get, Path: "/logs/bh-7", Share: 0.5},
			{Class: "photo-download", Service: "boxshots", Method: get, Path: "/photos/set-3", Share: 0.3},
			{Class: "assay-lookup", Service: "assayhub", Method: get, Path: "/assays/9", Share: 0.1},
		},
	}
}

// ExpenseClaims returns the expense claims mesh: three zones in one region. Approvals
// must not run twice, and fraud flags have the shortest deadline.
func ExpenseClaims() *Deployment {
	return &Deployment{
		Mesh: "expense-claims", Region: "bangkok", Zones: []string{"cp-a", "cp-b", "cp-c"},
		ZoneDelay: 500 * time.Microsecond, ClientDelay: 1500 * time.Microsecond,
		Levels: []string{"critical", "high", "normal", "bulk"},
		Services: []Service{
			{Name: "claims-portal", Targets: 6, MinSlots: 13, MaxSlots: 23, Connections: 130, Routes: []Route{
				{Method: get, Path: "/claims", Mean: 10 * time.Millisecond, Bytes: 6 << 10, Calls: []DownstreamCall{{"policy-svc", get, "/lookups/1", false}}},
				{Method: post, Path: "/approvals", Mean: 12 * time.Millisecond, Bytes: 512, Calls: []DownstreamCall{
					{"policy-svc", get, "/checks/1", false}, {"payout-svc", post, "/payments", true},
				}},
				{Method: get, Path: "/fraud-flags/", Mean: 4 * time.Millisecond, Bytes: 256, Calls: []DownstreamCall{{"policy-svc", get, "/lookups/2", false}}},
			}},
			{Name: "payout-svc", Targets: 4, MinSlots: 13, MaxSlots: 23, Connections: 130, Routes: []Route{
				{Method: post, Path: "/payments", Mean: 15 * time.Millisecond, Bytes: 256, Calls: []DownstreamCall{{"policy-svc", get, "/lookups/3", false}}},
			}},
			{Name: "receipt-store", Targets: 3, MinSlots: 13, MaxSlots: 23, Connections: 130, Routes: []Route{
				{Method: get, Path: "/scans/", Mean: 25 * time.Millisecond, Bytes: 96 << 10, Calls: []DownstreamCall{{"policy-svc", get, "/lookups/4", false}}},
			}},
			{Name: "policy-svc", Targets: 3, MinSlots: 13, MaxSlots: 23, Connections: 130, Routes: []Route{
				{Method: get, Path: "/checks/", Mean: 8 * time.Millisecond, Bytes: 1 << 10},
				{Method: get, Path: "/lookups/", Mean: 4 * time.Millisecond, Bytes: 512},
			}},
		},
		Classes: []bundle.Class{
			class("fraud-flag", "claims-portal", get, "/fraud-flags/", "critical", bundle.Repeatable, 3, 500*time.Millisecond),
			class("approve", "claims-portal", post, "/approvals", "high", bundle.AtMostOnce, 2, 10*time.Second),
			class("claim-list", "claims-portal", get, "/claims", "normal", bundle.Repeatable, 3, time.Second),
			class("receipt-scan", "receipt-store", get, "/scans/", "bulk", bundle.Repeatable, 2, 5*time.Second),
			class("payment", "payout-svc", post, "/payments", "high", bundle.AtMostOnce, 1, 5*time.Second),
			class("policy-check", "policy-svc", get, "/checks/", "high", bundle.Repeatable, 1, time.Second),
			class("lookup", "policy-svc", get, "/lookups/", "normal", bundle.Repeatable, 1, time.Second),
		},
		Mix: []Traffic{
			{Class: "fraud-flag", Service: "claims-portal", Method: get, Path: "/fraud-flags/77", Share: 0.1},
			{Class: "approve", Service: "claims-portal", Method: post, Path: "/approvals", Share: 0.1, Keyed: true},
			{Class: "claim-list", Service: "claims-portal", Method: get, Path: "/claims", Share: 0.5},
			{Class: "receipt-scan", Service: "receipt-store", Method: get, Path: "/scans/5", Share: 0.3},
		},
	}
}

// Bench returns a mesh for benchmarks: one service whose backends respond
// immediately.
func Bench() *Deployment {
	return &Deployment{
		Mesh: "bench", Region: "local", Zones: []string{"z"}, Levels: []string{"critical", "normal", "bulk"},
		Services: []Service{{Name: "echo", Targets: 2, MinSlots: 64, MaxSlots: 64, Connections: 128, Routes: []Route{
			{Method: get, Path: "/ping", Bytes: 512},
			{Method: post, Path: "/once", Bytes: 512},
		}}},
		Classes: []bundle.Class{
			class("ping", "echo", get, "/ping", "normal", bundle.Repeatable, 1, 2*time.Second),
			class("once", "echo", post, "/once", "critical", bundle.AtMostOnce, 1, 2*time.Second),
		},
		Mix: []Traffic{
			{Class: "ping", Service: "echo", Method: get, Path: "/ping", Share: 1},
		},
	}
}
