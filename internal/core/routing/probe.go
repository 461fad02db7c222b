package routing

import "slices"

// dueProbe returns a suspected upstream that may get one request now. Only a
// first attempt probes, because a hedge covers for it.
func dueProbe(s *shardTable, at int64, tried []string) *upstream {
	if len(tried) > 0 {
		return nil
	}
	for _, group := range [2][]*upstream{s.near, s.far} {
		for _, u := range group {
			due := u.probeAt.Load()
			if due == 0 || at < due || slices.Contains(tried, u.id) {
				continue
			}
			if u.takeProbe(due) {
				return u
			}
		}
	}
	return nil
}

// takeProbe opens the limit for one probe, for one caller. The next probe is
// due one backoff later.
func (u *upstream) takeProbe(due int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.probeAt.Load() != due || !u.health.suspected || u.running.Load() > 0 {
		return false
	}
	if u.allowed() < 1 {
		return false
	}
	u.probeAt.Store(due + int64(u.health.backoff))
	u.limit.Store(1)
	return true
}
