package admission

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Ticket is a queued query. Its goroutine waits until Ready is closed, StartBy
// passes, or the caller disconnects, and calls Cancel in the latter cases.
type Ticket struct {
	customer *customer
	startBy  time.Time
	ready    chan struct{}
	permit   Permit
	refusal  *verdict.Refusal
	done     bool
}

// Ready is closed once the ticket is granted or refused.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// StartBy is the latest time at which the query can start and usually end
// before its deadline.
func (t *Ticket) StartBy() time.Time { return t.startBy }

// Result returns the permit, or the refusal if there is one. It may be called
// once Ready is closed or Cancel has returned.
func (t *Ticket) Result() (Permit, *verdict.Refusal) { return t.permit, t.refusal }

func (t *Ticket) decided() bool { return t.done }

func (t *Ticket) grant(p Permit) {
	t.permit = p
	t.done = true
	close(t.ready)
}

func (t *Ticket) refuse(r *verdict.Refusal) {
	t.refusal = r
	t.done = true
	close(t.ready)
}

// customerHeap is a heap of the customers with waiting queries, ordered by
// start tag and then by name.
type customerHeap []*customer

func (o customerHeap) Len() int { return len(o) }

func (o customerHeap) Less(i, j int) bool {
	if o[i].tag != o[j].tag {
		return o[i].tag < o[j].tag
	}
	return o[i].name < o[j].name
}

func (o customerHeap) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index = i
	o[j].index = j
}

func (o *customerHeap) Push(x any) {
	c := x.(*customer)
	c.index = len(*o)
	*o = append(*o, c)
}

func (o *customerHeap) Pop() any {
	last := len(*o) - 1
	c := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	return c
}
