package gatewaydaemon

import (
	"encoding/json"
	"net/http"

	"ryecourse.example/ryecourse/internal/gateway"
)

const (
	// RoutePath is the path at which the operators' listener explains where a request
	// would go.
	RoutePath = "/route"
	// maxQuestionBytes limits the body of a question.
	maxQuestionBytes = 64 << 10
)

// RouteExplanation is the answer at RoutePath.
type RouteExplanation struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	gateway.Explanation
}

// explainRoute answers the questions of operators. The key is in the body, since URLs get
// into logs; it isn't part of the answer.
func (d *Daemon) explainRoute(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "the question is sent with POST", http.StatusMethodNotAllowed)
		return
	}
	var q gateway.Question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestionBytes)).Decode(&q); err != nil || q.Host == "" || q.URI == "" {
		http.Error(w, "the body isn't a question with a host and a URI", http.StatusBadRequest)
		return
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(RouteExplanation{VM: d.settings.VM, Zone: d.settings.Zone, Explanation: d.gateway.Explain(q)})
}
