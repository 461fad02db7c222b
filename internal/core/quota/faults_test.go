package quota_test

import "time"

// warmUp is longer than a fleet takes to start.
const warmUp = 12 * time.Second

// chooser returns a number from 0 to n-1. In a property test it draws the
// number, so that a failing run can be shrunk.
type chooser func(n int) int

func (c chooser) between(least, most time.Duration) time.Duration {
	span := int((most - least) / time.Millisecond)
	return least + time.Duration(c(span+1))*time.Millisecond
}

// faults are the events that a fleet must tolerate, in any order and number.
func faults() map[string]func(w *world, c chooser) {
	return map[string]func(w *world, c chooser){
		"wait":     func(w *world, c chooser) { w.run(c.between(0, 4*time.Second)) },
		"waitLong": func(w *world, c chooser) { w.run(c.between(4*time.Second, 15*time.Second)) },
		"demand":   func(w *world, c chooser) { w.hot = w.pick(c).VM.ID },
		"kill":     func(w *world, c chooser) { w.kill(w.pick(c), c.between(0, 8*time.Second)) },
		"restart":  func(w *world, c chooser) { w.restart(w.pick(c)) },
		"leave":    func(w *world, c chooser) { w.leave(w.pick(c), c.between(0, 5*time.Second)) },
		"drop":     func(w *world, c chooser) { w.drop(w.pick(c), c.between(0, 40*time.Second)) },
		"freeze": func(w *world, c chooser) {
			w.freeze(w.pick(c), c.between(0, 10*time.Second), c(2) == 0)
		},
		"freezeLong": func(w *world, c chooser) {
			w.freeze(w.pick(c), c.between(10*time.Second, 50*time.Second), c(2) == 0)
		},
		"pauseAsking": func(w *world, c chooser) { w.freezeOnLend = c.between(0, 4*time.Second) },
		"wallJump": func(w *world, c chooser) {
			w.stepWallClock(w.pick(c), c.between(-time.Hour, time.Hour))
		},
		"cutVM":        func(w *world, c chooser) { w.pick(c).Partition = c(4) },
		"cutPair":      func(w *world, c chooser) { w.pick(c).Unreachable = w.pick(c).VM.ID },
		"cutZone":      func(w *world, c chooser) { w.partitionZone(w.pick(c).VM.Zone, c(4)) },
		"platformDown": func(w *world, c chooser) { w.pick(c).PlatformDown = c(3) > 0 },
		"stale":        func(w *world, c chooser) { w.pinList(w.pick(c)) },
		"network": func(w *world, c chooser) {
			w.fleet.Net.Loss = float64(c(50)) / 100
			w.fleet.Net.Duplicate = float64(c(50)) / 100
			w.fleet.Net.ExtraDelay = float64(c(30)) / 100
			w.fleet.Net.MaxExtraDelay = c.between(time.Millisecond, 20*time.Second)
		},
		"heal":  func(w *world, c chooser) { w.heal() },
		"limit": func(w *world, c chooser) { w.setLimit("middle", float64(1+c(300)), float64(1+c(150))) },
		"settle": func(w *world, c chooser) {
			w.heal()
			w.run(lowerGrace)
			w.applyPendingLimits()
		},
	}
}
