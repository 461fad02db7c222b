package control

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

// The Wire benchmarks report the size of each message between daemons, without
// HTTP framing, and the time to build and encode it.

func benchSender() *peerv1.Sender {
	return &peerv1.Sender{Fleet: "cz-central", Vm: "vm-cz-a-0123", Incarnation: 1 << 63, Zone: "cz-a"}
}

// encode builds and encodes a message in each iteration.
func encode(b *testing.B, unit string, build func() proto.Message) {
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		out, err := proto.Marshal(build())
		if err != nil {
			b.Fatal(err)
		}
		size = len(out)
	}
	b.ReportMetric(float64(size), unit)
}

func benchDigest() dissemination.Digest {
	return dissemination.Digest{ConfigVersion: 1 << 30, ConfigDigest: fmt.Sprintf("%064x", 7), ListRevision: 1 << 30, ListAge: time.Second}
}

func BenchmarkWireExchange(b *testing.B) {
	encode(b, "B/msg", func() proto.Message {
		return &peerv1.ExchangeRequest{Sender: benchSender(), Digest: digestToWire(benchDigest())}
	})
}

func BenchmarkWireProbe(b *testing.B) {
	claim := lease.Digest{Revision: 1 << 30, Settled: true}
	encode(b, "B/msg", func() proto.Message {
		return &peerv1.ProbeRequest{Sender: benchSender(), Claim: claimToWire(claim)}
	})
}

func BenchmarkWireList(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2100} {
		list := &membership.List{Revision: 1 << 30}
		for i := range n {
			list.VMs = append(list.VMs, membership.VM{
				ID:          fmt.Sprintf("vm-cz-a-%04d", i),
				Zone:        fmt.Sprintf("cz-%02d", i%20),
				PeerAddress: fmt.Sprintf("10.20.%d.%d:7401", i>>8, i&255),
			})
		}
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			encode(b, "B/msg", func() proto.Message { return listToWire(list) })
		})
	}
}

// BenchmarkWireNames reports the size of a file request that lists all names and
// revisions. The response repeats them.
func BenchmarkWireNames(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2500} {
		var have []catalog.FileRevision
		for i := range n {
			have = append(have, catalog.FileRevision{Name: fmt.Sprintf("30-customer-%04d.json", i), Revision: 1<<30 + uint64(i)})
		}
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			encode(b, "B/msg", func() proto.Message {
				return &peerv1.FetchFilesRequest{Sender: benchSender(), Have: revisionsToWire(have)}
			})
		})
	}
}

func BenchmarkWireLend(b *testing.B) {
	share := lease.Share{Rate: 12_345_678, Capacity: 23_456_789, Tokens: 3_456_789}
	for _, n := range []int{1, 10, 100, 1000} {
		req := quota.LendRequest{ID: 1 << 20}
		resp := quota.LendResponse{ID: 1 << 20, Term: lease.LoanTerm}
		for i := range n {
			name := fmt.Sprintf("customer-%04d", i)
			req.Requests = append(req.Requests, lease.ShareRequest{Customer: name, Requested: share, Held: share})
			resp.Grants = append(resp.Grants, quota.Grant{Customer: name, Share: share, SpareRate: share.Rate, SpareTokens: share.Tokens, LargestBorrower: "vm-cz-a-0123"})
		}
		b.Run(fmt.Sprintf("wants=%d", n), func(b *testing.B) {
			encode(b, "B/msg", func() proto.Message { return lendToWire(benchSender(), req) })
			b.ReportMetric(float64(proto.Size(lendResponseToWire(resp))), "B/answer")
		})
	}
}

func BenchmarkWireRamps(b *testing.B) {
	for _, n := range []int{1, 10, 100, 256} {
		var questions []routing.RampQuestion
		var answers []routing.RampAnswer
		for i := range n {
			id := fmt.Sprintf("catalogue-%05d", i)
			questions = append(questions, routing.RampQuestion{Upstream: id, WantPermit: true})
			answers = append(answers, routing.RampAnswer{
				Upstream: id, Notice: &routing.RampNotice{Upstream: id, Instance: "i-0123456789", Stage: 3, Age: time.Second},
			})
		}
		b.Run(fmt.Sprintf("questions=%d", n), func(b *testing.B) {
			encode(b, "B/msg", func() proto.Message {
				return &peerv1.AskRampsRequest{Sender: benchSender(), Questions: questionsToWire(questions)}
			})
			b.ReportMetric(float64(proto.Size(&peerv1.AskRampsResponse{Answers: answersToWire(answers)})), "B/answer")
		})
	}
}

func BenchmarkWireNotice(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			encode(b, "B/msg", func() proto.Message {
				req := &peerv1.NotifyRequest{Sender: benchSender()}
				for i := range n {
					req.Ramps = append(req.Ramps, rampToWire(routing.RampNotice{
						Upstream: fmt.Sprintf("catalogue-%05d", i), Instance: "i-0123456789", Stage: 3, Age: time.Second,
					}))
				}
				return req
			})
		})
	}
}

// BenchmarkChangeOfList measures computing and applying the change of one VM, which
// the responder and the requester do.
func BenchmarkChangeOfList(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var base []membership.VM
			for i := range n {
				base = append(base, membership.VM{ID: fmt.Sprintf("vm-%08d", i), Zone: "cz-a", PeerAddress: "10.0.0.1:7401"})
			}
			next := append([]membership.VM(nil), base...)
			next[n/2].Leaving = true
			b.ReportAllocs()
			for b.Loop() {
				changeOf(base, next, vmKey).apply(base, vmKey)
			}
		})
	}
}

// BenchmarkChangeOfNames measures the same for the file names of a configuration
// folder.
func BenchmarkChangeOfNames(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2500} {
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			var base []catalog.FileRevision
			for i := range n {
				base = append(base, catalog.FileRevision{Name: fmt.Sprintf("%08d.json", i), Revision: 1})
			}
			next := append([]catalog.FileRevision(nil), base...)
			next[n/2].Revision = 2
			b.ReportAllocs()
			for b.Loop() {
				changeOf(base, next, fileKey).apply(base, fileKey)
			}
		})
	}
}
