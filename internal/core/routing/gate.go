package routing

import "sync/atomic"

// gate packs the number of running requests and their limit into one word, so
// that a request is always admitted against the current limit. It is safe for
// concurrent use.
type gate struct{ word atomic.Uint64 }

const gateShift = 32

func (g *gate) load() (running, limit int32) {
	return unpackGate(g.word.Load())
}

func (g *gate) running() int32 {
	running, _ := g.load()
	return running
}

func unpackGate(word uint64) (running, limit int32) {
	return int32(uint32(word)), int32(word >> gateShift)
}

func packGate(running, limit int32) uint64 {
	return uint64(limit)<<gateShift | uint64(uint32(running))
}

// tryAcquire admits a request if fewer than the limit and fewer than maxRunning
// are running.
func (g *gate) tryAcquire(maxRunning int32) bool {
	for {
		word := g.word.Load()
		running, limit := unpackGate(word)
		if running >= min(limit, maxRunning) {
			return false
		}
		if g.word.CompareAndSwap(word, packGate(running+1, limit)) {
			return true
		}
	}
}

// release ends a request and reports whether one was running.
func (g *gate) release() bool {
	for {
		word := g.word.Load()
		running, limit := unpackGate(word)
		if running <= 0 {
			return false
		}
		if g.word.CompareAndSwap(word, packGate(running-1, limit)) {
			return true
		}
	}
}

// setLimit changes the limit. Running requests above a lower limit continue.
func (g *gate) setLimit(limit int32) {
	for {
		word := g.word.Load()
		running, _ := unpackGate(word)
		if g.word.CompareAndSwap(word, packGate(running, limit)) {
			return
		}
	}
}

// setLimitIfIdle changes the limit if no request is running, and reports
// whether it did.
func (g *gate) setLimitIfIdle(limit int32) bool {
	word := g.word.Load()
	running, _ := unpackGate(word)
	return running == 0 && g.word.CompareAndSwap(word, packGate(0, limit))
}
