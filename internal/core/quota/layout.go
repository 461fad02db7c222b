package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// micro is the number of micro-requests in one request.
const micro = 1_000_000

// LayoutChangeWait is how long another VM may still use an earlier layout.
// Until then, no slot's share exceeds that in the earlier layout. It is longer
// than any VM takes to receive a new configuration.
const LayoutChangeWait = 12 * time.Second

// minSlotCapacity is the least capacity of a slot in a zone that has several.
// With few slots, the tokens of a small customer aren't scattered over many
// VMs.
const minSlotCapacity = 4 * micro

// layout is the division of one customer's limit into slots. It depends on the
// configuration alone.
type layout struct {
	limit Share
	// zones are the zones that have a share. A burst smaller than the number of
	// zones leaves some without, so that each share covers a whole request.
	zones []string
	// slots is the number of slots in each of those zones.
	slots int
	// first is the number of the first slot; the others follow, modulo
	// lease.SlotsPerZone.
	first int
	// share is one slot's share. The shares sum to at most the limit.
	share Share
}

func newLayout(c *catalog.Customer, zones []string) layout {
	l := layout{limit: Share{Rate: toMicro(c.Rate), Capacity: toMicro(c.Burst)}}
	if len(zones) == 0 {
		return l
	}
	parts := int64(len(zones))
	parts = max(min(parts, l.limit.Capacity/micro), 1)
	l.zones = chooseZones(c.Name, zones, int(parts))
	slots := l.limit.Capacity / parts / minSlotCapacity
	slots = max(min(slots, lease.SlotsPerZone), 1)
	l.slots = int(slots)
	l.first = int(xxhash.Sum64String(c.Name) % lease.SlotsPerZone)
	l.share = Share{Rate: l.limit.Rate / parts / slots, Capacity: l.limit.Capacity / parts / slots}
	return l
}

func toMicro(requests float64) int64 {
	const most = 1e12
	if !(requests > 0) {
		return 0
	}
	return int64(math.Floor(min(requests, most) * micro))
}

func chooseZones(customer string, zones []string, n int) []string {
	if n == len(zones) {
		return zones
	}
	nodes := make([]membership.VM, len(zones))
	for i, z := range zones {
		nodes[i] = membership.VM{ID: z}
	}
	var out []string
	for _, node := range membership.RendezvousN("zone/"+customer, nodes, n) {
		out = append(out, node.ID)
	}
	slices.Sort(out)
	return out
}

// hasSlot reports whether the numbered slot of the zone has a share.
func (l *layout) hasSlot(zone string, slot int) bool {
	offset := (slot - l.first + lease.SlotsPerZone) % lease.SlotsPerZone
	return offset < l.slots && slices.Contains(l.zones, zone)
}

// sameSplit reports whether both layouts give each slot the same fraction.
func (l *layout) sameSplit(o *layout) bool {
	return l.slots == o.slots && slices.Equal(l.zones, o.zones)
}

// earlierLayout is a previous layout that another VM may still use.
type earlierLayout struct {
	layout layout
	// inUseUntil is the end of that time, on the monotonic clock.
	inUseUntil time.Duration
}

// slotShare returns the slot's share. While another VM may still use an earlier
// layout with a different split, it is the smaller of the two.
func slotShare(now time.Duration, current *layout, earlier []earlierLayout, zone string, slot int) Share {
	if !current.hasSlot(zone, slot) {
		return Share{}
	}
	share := current.share
	for i := range earlier {
		g := &earlier[i]
		if now >= g.inUseUntil || current.sameSplit(&g.layout) {
			continue
		}
		if !g.layout.hasSlot(zone, slot) {
			return Share{}
		}
		share = share.Min(g.layout.share)
	}
	return share
}

// sortedZones returns the names of the catalog's zones in order.
func sortedZones(c *catalog.Catalog) []string {
	var out []string
	for name := range c.Zones {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
