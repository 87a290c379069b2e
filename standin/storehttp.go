package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
)

type listReply struct {
	Items    []rosemarysill.Item
	Revision uint64
	Next     string
}

type watchReply struct {
	Changes  []rosemarysill.Change
	Revision uint64
}

type swapRequest struct {
	Key     string
	Value   []byte
	Version uint64
	Lease   rosemarysill.LeaseID
}

type deleteRequest struct {
	Key     string
	Version uint64
}

type leaseRequest struct {
	Lease rosemarysill.LeaseID
	TTL   time.Duration
}

type refusal struct {
	Error  string
	Detail string
	status int
}

// refusalOf returns the answer to a failed call.
func refusalOf(err error) refusal {
	switch {
	case errors.Is(err, rosemarysill.ErrVersion):
		return refusal{"Version", err.Error(), http.StatusConflict}
	case errors.Is(err, rosemarysill.ErrNotFound):
		return refusal{"NotFound", err.Error(), http.StatusNotFound}
	case errors.Is(err, rosemarysill.ErrLeaseLapsed):
		return refusal{"LeaseLapsed", err.Error(), http.StatusGone}
	case errors.Is(err, rosemarysill.ErrCompacted):
		return refusal{"Compacted", err.Error(), http.StatusGone}
	case errors.Is(err, rosemarysill.ErrRateLimited):
		return refusal{"RateLimited", err.Error(), http.StatusTooManyRequests}
	case errors.Is(err, errTooLarge):
		return refusal{"TooLarge", err.Error(), http.StatusRequestEntityTooLarge}
	case errors.Is(err, errInvalid):
		return refusal{"Invalid", err.Error(), http.StatusBadRequest}
	default:
		return refusal{"Unavailable", err.Error(), http.StatusServiceUnavailable}
	}
}

// ServeHTTP implements the store protocol of the package's documentation.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	ctx := r.Context()
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/item":
		v, err := s.getCall(ctx, q.Get("key"))
		answer(w, v, err)
	case "GET /v1/list":
		v, err := s.listCall(ctx, q.Get("prefix"), q.Get("from"))
		answer(w, v, err)
	case "GET /v1/watch":
		after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, err2 := strconv.ParseInt(q.Get("wait"), 10, 64)
		if err := errors.CombineErrors(err1, err2); err != nil {
			answer(w, nil, errInvalid)
			return
		}
		v, err := s.watchCall(ctx, q.Get("prefix"), after, time.Duration(wait))
		answer(w, v, err)
	case "POST /v1/swap":
		storePost(s, w, r, func(ctx context.Context, in swapRequest) (any, error) {
			version, err := s.swapCall(ctx, in)
			return map[string]uint64{"Version": version}, err
		})
	case "POST /v1/delete":
		storePost(s, w, r, func(ctx context.Context, in deleteRequest) (any, error) { return s.deleteCall(ctx, in) })
	case "POST /v1/grant":
		storePost(s, w, r, func(ctx context.Context, in leaseRequest) (any, error) {
			lease, err := s.grantCall(ctx, in.TTL)
			return leaseRequest{Lease: lease, TTL: in.TTL}, err
		})
	case "POST /v1/renew":
		storePost(s, w, r, func(ctx context.Context, in leaseRequest) (any, error) { return s.renewCall(ctx, in.Lease) })
	case "POST /v1/revoke":
		storePost(s, w, r, func(ctx context.Context, in leaseRequest) (any, error) { return s.revokeCall(ctx, in.Lease) })
	case "GET /control/counters":
		writeJSON(w, http.StatusOK, s.Counters())
	case "POST /control/faults":
		var f StoreFaults
		if err := readJSON(w, r, 64<<10, &f); err != nil {
			answer(w, nil, errInvalid)
			return
		}
		s.SetFaults(f)
		writeJSON(w, http.StatusOK, struct{}{})
	case "POST /control/compact":
		s.Compact()
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// storePost decodes the body of a write and carries it out. Base64 adds a third to a
// value; the rest of the body is small.
func storePost[T any](s *Store, w http.ResponseWriter, r *http.Request, call func(context.Context, T) (any, error)) {
	var in T
	if err := readJSON(w, r, int64(s.opts.MaxValueBytes)*3/2+64<<10, &in); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			answer(w, nil, errTooLarge)
			return
		}
		answer(w, nil, errInvalid)
		return
	}
	v, err := call(r.Context(), in)
	answer(w, v, err)
}

func answer(w http.ResponseWriter, v any, err error) {
	if errors.Is(err, errLost) {
		dropConnection()
	}
	if err != nil {
		f := refusalOf(err)
		writeJSON(w, f.status, f)
		return
	}
	writeJSON(w, http.StatusOK, v)
}
