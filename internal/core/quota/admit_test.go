package quota_test

import "testing"

func TestAdmitAllocatesNothing(t *testing.T) {
	f := warmFleet(1000)
	d, now := f.Nodes[0].Daemon, f.Time()
	if n := testing.AllocsPerRun(1000, func() { d.Admit(now, "x") }); n > 0 {
		t.Errorf("%.1f allocations for each admission", n)
	}
	if d.Admit(now, "unknown").OK {
		t.Error("an unknown customer was admitted")
	}
}
