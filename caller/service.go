package caller

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/message"
	"github.com/rs/zerolog"
)

type handler struct {
	service rosemarysill.CallerService
	limits  message.Limits
	now     func() time.Time
	log     zerolog.Logger
}

// NewHandler returns the HTTP paths for callers: POST /v1/calls, POST /v1/jobs,
// GET /v1/jobs/{id} and POST /v1/jobs/{id}/cancel. message.Server serves it.
func NewHandler(service rosemarysill.CallerService, limits message.Limits, opts ...rosemarysill.Option) http.Handler {
	o := rosemarysill.NewOptions(opts...)
	h := &handler{service: service, limits: limits, now: o.Now, log: o.Log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls", h.call)
	mux.HandleFunc("POST /v1/jobs", h.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", h.job)
	mux.HandleFunc("POST /v1/jobs/{id}/cancel", h.cancel)
	mux.HandleFunc("/", h.unknown)
	return mux
}

func (h *handler) call(w http.ResponseWriter, r *http.Request) {
	received := h.now()
	var q CallRequest
	faults, ok := h.read(w, r, &q, &q.ID)
	if !ok {
		return
	}
	call, faults := q.check(faults, received, h.limits.AnswerWithin)
	if len(faults) > 0 {
		h.refuse(w, q.ID, faults)
		return
	}
	a := h.service.Call(r.Context(), call)
	if len(a.Body) > maxAnswerBytes {
		a.Code, a.Detail, a.Body = rosemarysill.AnswerTooLarge, "the call ran; its answer exceeds the limit", nil
	}
	h.write(w, a.Code, &CallAnswer{Reply: message.NewReply(a.ID, a.Code, a.Detail), Upstream: a.Upstream, Body: a.Body})
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	var spec rosemarysill.JobSpec
	faults, ok := h.read(w, r, &spec, &spec.ID)
	if !ok {
		return
	}
	checkSpec(&faults, &spec)
	if len(faults) > 0 {
		h.refuse(w, spec.ID, faults)
		return
	}
	job, err := h.service.Submit(r.Context(), spec)
	h.writeJob(w, spec.ID, job, err)
}

// read decodes the body into v, whose identifier is at id, and returns the
// faults so far. It answers a request that was not received whole itself.
func (h *handler) read(w http.ResponseWriter, r *http.Request, v any, id *uuid.UUID) (message.Faults, bool) {
	header, faults := message.RequestID(r)
	data, err := message.Read(w, r, h.limits.BodyBytes, time.Now().Add(h.limits.ReadWithin))
	if err != nil {
		reply := message.ReplyTo(header, err)
		h.write(w, reply.Code, reply)
		return nil, false
	}
	intake.Decode(r, func() { faults = append(faults, message.Decode(data, v)...) })
	switch {
	case *id == uuid.Nil:
		faults.Add("ID", "is missing")
		*id = header // for the answer
	case header != uuid.Nil && header != *id:
		faults.Add(message.IDHeader, "differs from ID")
	}
	return faults, true
}

func (h *handler) job(w http.ResponseWriter, r *http.Request) {
	if id, ok := h.id(w, r); ok {
		job, err := h.service.Job(r.Context(), id)
		h.writeJob(w, id, job, err)
	}
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	if id, ok := h.id(w, r); ok {
		job, err := h.service.Cancel(r.Context(), id)
		h.writeJob(w, id, job, err)
	}
}

// id returns the job's identifier from the path, or answers the request. The
// body is read and must be empty, so that the connection can be used again.
func (h *handler) id(w http.ResponseWriter, r *http.Request) (uuid.UUID, bool) {
	var faults message.Faults
	id, err := uuid.Parse(r.PathValue("id"))
	if err != nil || len(r.PathValue("id")) != len(id.String()) {
		id = uuid.Nil
		faults.Add("id", "is not a UUID")
	}
	data, err := message.Read(w, r, h.limits.BodyBytes, time.Now().Add(h.limits.ReadWithin))
	if err != nil || len(data) > 0 {
		faults.Add("", "the request has a body")
	}
	if len(faults) > 0 {
		h.refuse(w, id, faults)
		return id, false
	}
	return id, true
}

func (h *handler) unknown(w http.ResponseWriter, r *http.Request) {
	var faults message.Faults
	id, _ := message.RequestID(r)
	faults.Add("", "no such path or method: %s %.100s", r.Method, r.URL.Path)
	h.refuse(w, id, faults)
}

func (h *handler) refuse(w http.ResponseWriter, id uuid.UUID, faults message.Faults) {
	reply := message.Invalid(id, faults)
	event.RequestInvalid.Log(h.log).Stringer("ID", id).Str("Faults", faults.String()).Send()
	h.write(w, reply.Code, reply)
}

func (h *handler) writeJob(w http.ResponseWriter, id uuid.UUID, job rosemarysill.Job, err error) {
	a := &JobAnswer{Reply: message.ReplyTo(id, err)}
	if err == nil {
		a.Job = &job
	}
	if err != nil && a.Code == rosemarysill.OutcomeUnknown {
		event.RequestUnproved.Log(h.log).Stringer("ID", id).Err(err).Send()
	}
	h.write(w, a.Code, a)
}

func (h *handler) write(w http.ResponseWriter, code rosemarysill.Code, v any) {
	if err := message.Write(w, code, v, time.Now().Add(h.limits.WriteWithin)); err != nil {
		event.AnswerNotSent.Log(h.log).Stringer("Code", code).Err(err).Send()
	}
}
