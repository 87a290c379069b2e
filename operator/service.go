// Package operator serves operators over HTTP and is the client that operators'
// commands use.
package operator

import (
	"expvar"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/message"
	"github.com/rs/zerolog"
)

// PlanAnswer is the answer to a request for a plan.
type PlanAnswer struct {
	message.Reply
	Plan *rosemarysill.Plan `json:",omitempty"`
}

// ConfirmAnswer is the answer to the confirmation of a plan. Its Code is that
// of the Confirmation.
type ConfirmAnswer struct {
	message.Reply
	Confirmation *rosemarysill.Confirmation `json:",omitempty"`
}

// StatusAnswer is the answer to a request for the status.
type StatusAnswer struct {
	message.Reply
	Status *rosemarysill.Status `json:",omitempty"`
}

type handler struct {
	service rosemarysill.OperatorService
	limits  message.Limits
	log     zerolog.Logger
}

// NewHandler returns the HTTP paths for operators: POST /v1/plans, GET
// /v1/plans/{id}, POST /v1/plans/{id}/confirm, GET /v1/status and GET
// /debug/vars. message.Server serves it.
func NewHandler(service rosemarysill.OperatorService, limits message.Limits, opts ...rosemarysill.Option) http.Handler {
	o := rosemarysill.NewOptions(opts...)
	h := &handler{service: service, limits: limits, log: o.Log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/plans", h.plan)
	mux.HandleFunc("GET /v1/plans/{id}", h.look)
	mux.HandleFunc("POST /v1/plans/{id}/confirm", h.confirm)
	mux.HandleFunc("GET /v1/status", h.status)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("/", h.unknown)
	return mux
}

func (h *handler) plan(w http.ResponseWriter, r *http.Request) {
	data, err := message.Read(w, r, h.limits.BodyBytes, time.Now().Add(h.limits.ReadWithin))
	id, faults := message.RequestID(r)
	if err != nil {
		h.write(w, &PlanAnswer{Reply: message.ReplyTo(id, err)})
		return
	}
	var in rosemarysill.Intent
	faults = append(faults, message.Decode(data, &in)...)
	checkIntent(&faults, &in)
	if len(faults) > 0 {
		h.refuse(w, id, faults)
		return
	}
	plan, err := h.service.Plan(r.Context(), in)
	h.writePlan(w, id, plan, err)
}

func (h *handler) look(w http.ResponseWriter, r *http.Request) {
	id, ok := h.planID(w, r)
	if !ok {
		return
	}
	plan, err := h.service.LookUp(r.Context(), id)
	h.writePlan(w, id, plan, err)
}

func (h *handler) confirm(w http.ResponseWriter, r *http.Request) {
	id, ok := h.planID(w, r)
	if !ok {
		return
	}
	c, err := h.service.Confirm(r.Context(), id)
	if err != nil && c.Plan != id {
		h.write(w, &ConfirmAnswer{Reply: message.ReplyTo(id, err)})
		return
	}
	if err != nil { // a refusal that tells what changed
		c.Code, c.Detail = rosemarysill.CodeOf(err), rosemarysill.DetailOf(err)
	}
	event.PlanAnswered.Log(h.log).Stringer("Plan", id).Stringer("Code", c.Code).Uint64("Revision", c.Revision).Send()
	h.write(w, &ConfirmAnswer{Reply: message.NewReply(id, c.Code, c.Detail), Confirmation: &c})
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	id, faults := message.RequestID(r)
	checkEmpty(&faults, w, r, h.limits)
	if len(faults) > 0 {
		h.refuse(w, id, faults)
		return
	}
	s, err := h.service.Status(r.Context())
	a := &StatusAnswer{Reply: message.ReplyTo(id, err)}
	if err == nil {
		a.Status = &s
	}
	h.write(w, a)
}

func (h *handler) unknown(w http.ResponseWriter, r *http.Request) {
	id, faults := message.RequestID(r)
	faults.Add("", "no such path or method: %s %.100s", r.Method, r.URL.Path)
	h.refuse(w, id, faults)
}

// planID returns the plan's identifier from the path, or answers the request.
func (h *handler) planID(w http.ResponseWriter, r *http.Request) (uuid.UUID, bool) {
	var faults message.Faults
	id, err := uuid.Parse(r.PathValue("id"))
	if err != nil || len(r.PathValue("id")) != len(id.String()) {
		id = uuid.Nil
		faults.Add("id", "is not a UUID")
	}
	checkEmpty(&faults, w, r, h.limits)
	if len(faults) > 0 {
		h.refuse(w, id, faults)
	}
	return id, len(faults) == 0
}

func checkEmpty(faults *message.Faults, w http.ResponseWriter, r *http.Request, limits message.Limits) {
	data, err := message.Read(w, r, limits.BodyBytes, time.Now().Add(limits.ReadWithin))
	if err != nil || len(data) > 0 {
		faults.Add("", "the request has a body")
	}
}

func (h *handler) writePlan(w http.ResponseWriter, id uuid.UUID, plan rosemarysill.Plan, err error) {
	a := &PlanAnswer{Reply: message.ReplyTo(id, err)}
	if err == nil {
		a.Plan = &plan
		event.PlanAnswered.Log(h.log).Stringer("Plan", plan.ID).Uint64("BaseRevision", plan.BaseRevision).Send()
	}
	h.write(w, a)
}

func (h *handler) refuse(w http.ResponseWriter, id uuid.UUID, faults message.Faults) {
	reply := message.Invalid(id, faults)
	event.OperatorRequestInvalid.Log(h.log).Str("Faults", faults.String()).Send()
	h.write(w, &reply)
}

func (h *handler) write(w http.ResponseWriter, a message.Headed) {
	if err := message.Write(w, a.Head().Code, a, time.Now().Add(h.limits.WriteWithin)); err != nil {
		event.OperatorAnswerNotSent.Log(h.log).Err(err).Send()
	}
}
