package pace

import "math"

// FullLevel is the level at which an instance gets all requests that choose it.
const FullLevel = 8

// Stage is how far the return of an instance has come. Stages of two VMs merge to the
// greater one, so that VMs agree whatever the order of their reports: a harm begins a
// new generation, which replaces raises that other VMs made without knowledge of it.
type Stage struct {
	// Generation counts the harms since the instance's return began, from 1.
	Generation int
	// Level is from 0 to FullLevel.
	Level int
	// Ceiling is the level at which requests were harmed last; 0 if none were.
	Ceiling int
}

const (
	levelBits      = 4
	levelMask      = 1<<levelBits - 1
	maxGenerations = 1<<(32-2*levelBits) - 1
)

// Encode packs the stage for reports. Greater stages have greater codes.
func (s Stage) Encode() uint32 {
	return uint32(min(s.Generation, maxGenerations))<<(2*levelBits) | uint32(s.Level)<<levelBits | uint32(s.Ceiling)
}

// DecodeStage returns the stage of a code.
func DecodeStage(code uint32) Stage {
	return Stage{
		Generation: int(code >> (2 * levelBits)),
		Level:      min(int(code>>levelBits&levelMask), FullLevel),
		Ceiling:    min(int(code&levelMask), FullLevel),
	}
}

// exceeds reports whether s replaces o.
func (s Stage) exceeds(o Stage) bool { return s.Encode() > o.Encode() }

// fraction is the fraction of the requests that choose the instance which it gets.
func (s Stage) fraction() float64 { return math.Exp2(float64(s.Level - FullLevel)) }

// perSecond is the rate of requests of all VMs that the instance gets besides.
func (s Stage) perSecond(p *Policy) float64 {
	return p.TrialPerSecond * math.Exp2(float64(s.Level))
}
