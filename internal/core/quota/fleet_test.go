package quota_test

import (
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

func TestSmoke(t *testing.T) {
	f := quotasim.NewFleet(1)
	f.PublishCatalog([]catalog.Customer{{Name: "x", Rate: 100, Burst: 100}}, quotasim.FourZones())
	f.PublishList(quotasim.Nine())
	for _, vm := range quotasim.Nine() {
		f.Start(vm)
	}
	var n [60]int
	var r [60]int
	curve := quotasim.Curve{Rate: 100, Burst: 100}
	var arrive func()
	arrive = func() {
		vm := f.Nodes[0]
		if vm.Daemon.Admit(f.Time(), "x").OK {
			n[int(f.Now.Seconds())]++
			if !curve.Admit(f.Now) {
				t.Errorf("excess at %v", f.Now)
			}
		} else {
			r[int(f.Now.Seconds())]++
		}
		f.At(time.Duration(f.Rand.ExpFloat64()*float64(time.Second)/90), nil, arrive)
	}
	arrive()
	f.Run(30 * time.Second)
	t.Log(n, r, f.Messages)
	for _, node := range f.Nodes {
		t.Logf("%+v", node.Daemon.(*quota.Manager).Status(f.Time()))
	}
}
