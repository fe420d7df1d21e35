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

// Bounds of the interface.
const (
	// maxBody bounds a request in bytes; the largest intent is a few megabytes
	// of JSON.
	maxBody = 16 << 20
	// maxChanges and maxReads bound the calls served at once. A plan of the
	// largest fleet takes tens of megabytes while it is worked out, and the
	// process has 256 MB for all it does.
	maxChanges = 3
	maxReads   = 16
	// slotWait bounds the wait for a call to be served.
	slotWait = 2 * time.Second
	// callTimeout bounds the platform's part of one call.
	callTimeout = 5 * time.Second
	// retryAfter is the hint with a problem that may pass.
	retryAfter = time.Second
)

// Router is what the interface needs of the router that serves it.
type Router interface {
	// InForce returns the configuration in force, nil for none.
	InForce() *config.Document
	// Adopt puts a newer configuration in force at this router.
	Adopt(*config.Document)
	// Facts returns what is known of the running fleet, with the waiting work
	// of the teams at all routers.
	Facts(ctx context.Context, teams []string) plan.Facts
	// Status returns the fleet as the router sees it.
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

// New returns a server. The bootstrap digest is of the token that may confirm
// the first configuration; empty allows none.
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

// handler answers one call with a value, or with an error that is a *problem.
type handler func(req *http.Request, who string) (any, error)

// guard bounds and authenticates the call and writes the answer.
func (s *Server) guard(slots chan struct{}, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		// Nothing of the body is read before the token is known to be good.
		who, err := s.authenticate(req)
		if err != nil {
			writeProblem(w, asProblem(err))
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-time.After(slotWait):
			writeProblem(w, failure(http.StatusServiceUnavailable, operator.ReasonBusy, "too many operators' calls at once"))
			return
		}
		req.Body = http.MaxBytesReader(w, req.Body, maxBody)
		answer, err := h(req, who)
		if err != nil {
			writeProblem(w, asProblem(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The operator may be gone; there is nobody else to tell.
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// bootstrapName is recorded as the operator of the first configuration. No
// configured operator can have this name.
const bootstrapName = "(bootstrap)"

// authenticate returns the operator's name. The bootstrap token counts only
// while this router has no configuration; a confirmation checks it against the
// platform too.
func (s *Server) authenticate(req *http.Request) (string, error) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", failure(http.StatusUnauthorized, operator.ReasonUnauthorized, "a bearer token is needed")
	}
	digest := config.TokenDigest(token)
	head := s.router.InForce()
	if head == nil {
		read, err := s.ledger.Head(req.Context())
		if err != nil {
			return "", unreachable(err)
		}
		head = read
	}
	if head != nil {
		if name, known := head.OperatorOf(digest); known {
			return name, nil
		}
	}
	if s.isBootstrap(digest) && (head == nil || req.URL.Path == operator.PathConfirm || req.URL.Path == operator.PathSettle) {
		return bootstrapName, nil
	}
	return "", failure(http.StatusUnauthorized, operator.ReasonUnauthorized, "no operator has this bearer token")
}

// isBootstrap reports whether the digest is of the bootstrap token. Such an
// operator may confirm and settle plans against no revision, whenever: once a
// configuration stands this can only repeat what became of the first plan.
func (s *Server) isBootstrap(digest string) bool {
	return s.bootstrap != "" && digest == s.bootstrap
}

// readJSON reads the request's body strictly.
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
		return failure(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, "the body is too large")
	case errors.Is(err, io.EOF):
		return failure(http.StatusBadRequest, outcome.ReasonBadRequest, "the body is empty")
	default:
		return failure(http.StatusBadRequest, outcome.ReasonBadRequest, err.Error())
	}
}
