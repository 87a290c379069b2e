package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/explanation"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// explanationPath is the HTTP path, at the address of the metrics, of explanations.
	explanationPath = "/explain-placement"
	// explanationCallTimeout bounds a call, with the transfer of the body.
	explanationCallTimeout = 3 * time.Second
	// maxExplanationBytes bounds the answer that a client accepts.
	maxExplanationBytes = 1 << 20
)

// ExplanationRequest is a question about a job that is not submitted.
type ExplanationRequest struct {
	Host    string // of the queue
	Path    string // prefix of the queue, with or without an identifier behind it
	Account string // name of the client account; empty for a public queue
	Body    []byte // of the submission
}

// explanationFailure is the body of an answer without an explanation.
type explanationFailure struct {
	Code   rosemarysill.Code
	Detail string
}

// previewer returns the job that a submission would record; see gateway.Gateway.Preview.
type previewer interface {
	MaxBody() int64
	Preview(host, path, account string, draft *work.Job) (j *work.Job, refusal, err error)
}

// explainer explains the placement of a job; see leader.Leader.Explain.
type explainer interface {
	Explain(ctx context.Context, j *work.Job, refusal string) (explanation.Explanation, error)
}

// explanationHandler serves explanations at an entry. It changes nothing.
func explanationHandler(p previewer, e explainer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		deadline := time.Now().Add(explanationCallTimeout)
		ctx, cancel := context.WithDeadline(r.Context(), deadline)
		defer cancel()
		answer, err := explain(ctx, p, e, w, r, deadline)
		var out any = answer
		status := http.StatusOK
		if err != nil {
			out = explanationFailure{rosemarysill.CodeOf(err), rosemarysill.DetailOf(err)}
			switch rosemarysill.CodeOf(err) {
			case rosemarysill.NotAuthoritative:
				status = http.StatusMisdirectedRequest
			case rosemarysill.Overloaded, rosemarysill.StaleConfiguration:
				status = http.StatusServiceUnavailable
			default:
				status = http.StatusBadRequest
			}
		}
		body, err := json.Marshal(out)
		if err != nil {
			status = http.StatusInternalServerError
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(body) // fails only if the client has disconnected
	})
}

func explain(ctx context.Context, p previewer, e explainer, w http.ResponseWriter, r *http.Request, deadline time.Time) (explanation.Explanation, error) {
	draft, err := platform.ReadJob(w, r, p.MaxBody(), deadline)
	if err != nil {
		return explanation.Explanation{}, err
	}
	q := r.URL.Query()
	j, refusal, err := p.Preview(q.Get("Host"), q.Get("Path"), q.Get("Account"), draft)
	if err != nil {
		return explanation.Explanation{}, err
	}
	reason := ""
	if refusal != nil {
		reason = rosemarysill.CodeOf(refusal).String() + ": " + rosemarysill.DetailOf(refusal)
	}
	return e.Explain(ctx, j, reason)
}

// ExplainPlacement asks the entry whose metrics are at the address. The error has the code
// NotAuthoritative if that entry does not lead; its detail names the leader.
func ExplainPlacement(ctx context.Context, address netip.AddrPort, req ExplanationRequest) (explanation.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explanationCallTimeout)
	defer cancel()
	query := url.Values{"Host": {req.Host}, "Path": {req.Path}, "Account": {req.Account}}
	u := url.URL{Scheme: "http", Host: address.String(), Path: explanationPath, RawQuery: query.Encode()}
	var e explanation.Explanation
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(req.Body))
	if err != nil {
		return e, rosemarysill.NewError(rosemarysill.InvalidArguments, "%v", err)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return e, rosemarysill.NewError(rosemarysill.Unreachable, "%v", err)
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return e, rosemarysill.NewError(rosemarysill.Unreachable, "read the answer of %s: %v", address, err)
	}
	if response.StatusCode != http.StatusOK {
		var f explanationFailure
		if err := json.Unmarshal(body, &f); err != nil || f.Code == rosemarysill.Done {
			return e, rosemarysill.NewError(rosemarysill.Unreachable, "%s has answered with status %d and no code", address, response.StatusCode)
		}
		return e, rosemarysill.NewError(f.Code, "%s", f.Detail)
	}
	if err := json.Unmarshal(body, &e); err != nil {
		return e, rosemarysill.NewError(rosemarysill.InternalError, "decode the answer of %s: %v", address, err)
	}
	return e, nil
}
