package control

import (
	"fmt"

	"ryecourse.example/ryecourse/internal/core/quota"
)

// quotaCause describes a change of shares for the audit trail.
func quotaCause(a quota.Audit) string {
	switch {
	case a.Peer != "":
		return fmt.Sprintf("with %s: rate %d, capacity %d micro-requests", a.Peer, a.Share.Rate, a.Share.Capacity)
	case a.Slot >= 0:
		return fmt.Sprintf("slot %d of the zone", a.Slot)
	}
	return fmt.Sprintf("rate %d, capacity %d micro-requests", a.Share.Rate, a.Share.Capacity)
}
