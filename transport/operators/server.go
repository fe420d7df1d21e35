package operators

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// Limits of the interface.
const (
	// maxBody bounds a request body in bytes; the largest intent is a few
	// megabytes of JSON.
	maxBody = 16 << 20
	// maxChanges and maxReads bound the concurrent calls. Computing a plan for
	// the largest fleet takes tens of megabytes, and the process has 256 MB in
	// total.
	maxChanges = 3
	maxReads   = 16
	// slotWait bounds the time that a call waits for a free slot.
	slotWait = 2 * time.Second
	// callTimeout bounds the platform operations of one call.
	callTimeout = 5 * time.Second
	// retryAfter is the retry hint sent with a transient problem.
	retryAfter = time.Second
)

// Router is the router that serves the interface.
type Router interface {
	// InForce returns the configuration in force, nil if there is none.
	InForce() *config.Document
	// Adopt puts a newer configuration in force at this router.
	Adopt(*config.Document)
	// Facts returns the known state of the running fleet, including the queued
	// work of the teams at all routers.
	Facts(ctx context.Context, teams []string) plan.Facts
	// Status returns the state of the fleet as seen by the router.
	Status(ctx context.Context) operator.Status
}

// Server serves the operators' interface.
type Server struct {
	ledger    *Ledger
	router    Router
	bootstrap string
	log       log.Logger
	changes   chan struct{}
	reads     chan struct{}
}

// New returns a server. The bootstrap argument is the digest of the token that
// may confirm the first configuration; an empty one disables bootstrapping.
func New(store platform.Store, router Router, bootstrap string, logger log.Logger) *Server {
	return &Server{
		ledger:    NewLedger(store),
		router:    router,
		bootstrap: bootstrap,
		log:       logger,
		changes:   make(chan struct{}, maxChanges),
		reads:     make(chan struct{}, maxReads),
	}
}

// Mount adds the interface to the mux.
func (s *Server) Mount(mux *http.ServeMux) {
	post := func(path string, h handler) { mux.HandleFunc("POST "+path, s.guard(s.changes, h)) }
	get := func(path string, h handler) { mux.HandleFunc("GET "+path, s.guard(s.reads, h)) }
	post(operator.PathPlan, s.plan)
	post(operator.PathRollbackPlan, s.rollbackPlan)
	post(operator.PathConfirm, s.confirm)
	get(operator.PathSettle, s.settle)
	get(operator.PathConfig, s.config)
	get(operator.PathHistory, s.history)
	get(operator.PathStatus, s.status)
}

// handler serves one call. It returns the response body or an error, preferably a
// *problem; any other error is sent as an internal one.
type handler func(req *http.Request, operatorName string) (any, error)

// guard authenticates the call, limits concurrency and body size, and writes the
// response.
func (s *Server) guard(slots chan struct{}, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		// The body is not read before the token has been verified.
		operatorName, err := s.authenticate(req)
		if err != nil {
			writeProblem(w, asProblem(err))
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-time.After(slotWait):
			writeProblem(w, newProblem(http.StatusServiceUnavailable, operator.ReasonBusy, "too many operators' calls at once"))
			return
		}
		req.Body = http.MaxBytesReader(w, req.Body, maxBody)
		answer, err := h(req, operatorName)
		if err != nil {
			writeProblem(w, asProblem(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// bootstrapName is the operator name recorded for the bootstrap token. No
// configured operator can have this name.
const bootstrapName = "(bootstrap)"

// authenticate returns the operator's name. The bootstrap token is accepted for
// all calls only while there is no configuration, and afterwards for confirm and
// settle only, which restrict it to base revision 0; a confirmation is also
// checked against the platform.
func (s *Server) authenticate(req *http.Request) (string, error) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", newProblem(http.StatusUnauthorized, operator.ReasonUnauthorized, "a bearer token is needed")
	}
	digest := config.TokenDigest(token)
	head := s.router.InForce()
	if head == nil {
		newest, err := s.ledger.Head(req.Context())
		if err != nil {
			return "", platformUnreachable(err)
		}
		head = newest
	}
	if head != nil {
		if name, known := head.OperatorOf(digest); known {
			return name, nil
		}
	}
	if s.isBootstrap(digest) && (head == nil || req.URL.Path == operator.PathConfirm || req.URL.Path == operator.PathSettle) {
		return bootstrapName, nil
	}
	return "", newProblem(http.StatusUnauthorized, operator.ReasonUnauthorized, "no operator has this bearer token")
}

// isBootstrap reports whether the digest is that of the bootstrap token. Its
// holder may confirm and settle plans with base revision 0 at any time: once a
// configuration exists, this can only return the result of the first plan.
func (s *Server) isBootstrap(digest string) bool {
	return s.bootstrap != "" && digest == s.bootstrap
}

// readJSON decodes the request body and rejects unknown fields and trailing
// data.
func readJSON(req *http.Request, into any) error {
	dec := json.NewDecoder(req.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil && dec.More() {
		err = errors.New("more than one JSON value")
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return newProblem(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, "the body is too large")
	case errors.Is(err, io.EOF):
		return newProblem(http.StatusBadRequest, outcome.ReasonBadRequest, "the body is empty")
	default:
		return newProblem(http.StatusBadRequest, outcome.ReasonBadRequest, err.Error())
	}
}
