package wire

import "testing"

func BenchmarkCallHeader(b *testing.B) {
	call := &SidecarCall{
		RequestID: "0123456789abcdef.1", Method: "GET", URI: "/results/item/42?lang=en", Host: "mesh.example", Service: "results", Route: "results",
		Caller: "billing", From: "node-10.1.0.1", Importance: 3, Idempotent: true, Remaining: 690123, Version: 12,
	}
	b.ReportAllocs()
	for range b.N {
		head, _ := SidecarCallCodec.EncodeHeader(call)
		if _, err := SidecarCallCodec.DecodeHeader(head); err != nil {
			b.Fatal(err)
		}
	}
}
