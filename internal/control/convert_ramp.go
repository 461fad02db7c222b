package control

import (
	"ryecourse.example/ryecourse/internal/core/routing"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

func coldToWire(n routing.ColdNotice) *peerv1.ColdNotice {
	return &peerv1.ColdNotice{Upstream: n.Upstream, Instance: n.Instance, AgeMs: n.Age.Milliseconds()}
}

func coldFromWire(n *peerv1.ColdNotice) routing.ColdNotice {
	return routing.ColdNotice{Upstream: n.GetUpstream(), Instance: n.GetInstance(), Age: milliseconds(n.GetAgeMs())}
}

func rampToWire(n routing.RampNotice) *peerv1.RampNotice {
	return &peerv1.RampNotice{Upstream: n.Upstream, Instance: n.Instance, Stage: int32(n.Stage), AgeMs: ceilMs(n.Age)}
}

func rampFromWire(n *peerv1.RampNotice) routing.RampNotice {
	return routing.RampNotice{
		Upstream: n.GetUpstream(),
		Instance: n.GetInstance(),
		Stage:    int(n.GetStage()),
		Age:      milliseconds(n.GetAgeMs()),
	}
}

func questionsToWire(in []routing.RampQuestion) []*peerv1.RampQuestion {
	return convert(in, func(q routing.RampQuestion) *peerv1.RampQuestion {
		return &peerv1.RampQuestion{Upstream: q.Upstream, WantPermit: q.WantPermit}
	})
}

func questionsFromWire(in []*peerv1.RampQuestion) []routing.RampQuestion {
	return convert(in, func(q *peerv1.RampQuestion) routing.RampQuestion {
		return routing.RampQuestion{Upstream: q.GetUpstream(), WantPermit: q.GetWantPermit()}
	})
}

func answersToWire(in []routing.RampAnswer) []*peerv1.RampAnswer {
	return convert(in, func(a routing.RampAnswer) *peerv1.RampAnswer {
		out := &peerv1.RampAnswer{Upstream: a.Upstream, Lent: int32(a.Lent)}
		if a.Notice != nil {
			out.Notice = rampToWire(*a.Notice)
		}
		return out
	})
}

func answersFromWire(in []*peerv1.RampAnswer) []routing.RampAnswer {
	return convert(in, func(a *peerv1.RampAnswer) routing.RampAnswer {
		out := routing.RampAnswer{Upstream: a.GetUpstream(), Lent: int(a.GetLent())}
		if a.GetNotice() != nil {
			n := rampFromWire(a.GetNotice())
			out.Notice = &n
		}
		return out
	})
}
