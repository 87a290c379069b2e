package entry

import (
	"context"

	"github.com/rosemarysill/rosemarysill"
)

// Call serves a call on an upstream.
func (e *Entry) Call(ctx context.Context, c rosemarysill.Call) rosemarysill.Answer {
	auth := e.members.Authority()
	if _, ok := auth.Config.Account(c.Account); !ok && auth.Valid(e.opts.Now()) {
		return rosemarysill.Answer{ID: c.ID, Code: rosemarysill.UnknownAccount, Detail: "client account is not declared"}
	}
	return e.router.Call(ctx, c)
}
