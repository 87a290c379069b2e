package gateway

import (
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/work"
)

// previewID is the identifier of a job that is not submitted. No job on record has it,
// because it is not hexadecimal.
const previewID = "preview"

// Preview returns the job that a submission would record, and why it would be refused at
// present; that is nil if it would be accepted. The path is the prefix of a queue, with or
// without an identifier behind it. Nothing is recorded. The error is UnknownQueue,
// UnknownAccount, InvalidRequest or StaleConfiguration.
func (g *Gateway) Preview(host, path, account string, draft *work.Job) (j *work.Job, refusal, err error) {
	cfg := g.cfg.Declarations.Configuration()
	if cfg == nil || !g.configFresh() {
		return nil, nil, rosemarysill.NewError(rosemarysill.StaleConfiguration, "this entry has no recent configuration")
	}
	q, _ := cfg.Find(host, path)
	if q == nil {
		return nil, nil, rosemarysill.NewError(rosemarysill.UnknownQueue, "no queue for host %q and path %q", host, path)
	}
	if _, ok := cfg.Accounts[account]; !ok && (account != "" || !q.Public) {
		return nil, nil, rosemarysill.NewError(rosemarysill.UnknownAccount, "no client account %q", account)
	}
	if problem := draft.Check(); problem != "" {
		return nil, nil, rosemarysill.NewError(rosemarysill.InvalidRequest, "%s", problem)
	}
	checked := *draft
	applyQueue(&checked, previewID, account, q)
	if g.cfg.Cache.NumJobs() >= g.cfg.MaxJobs {
		return &checked, g.queueFull(), nil
	}
	if r, _, _ := g.loadRefusal(cfg, &checked); r != nil {
		return &checked, refusalError(r), nil
	}
	return &checked, nil, nil
}

// queueFull returns the refusal of a job beyond the limit of jobs on record.
func (g *Gateway) queueFull() error {
	return rosemarysill.NewError(rosemarysill.QueueFull, "the limit of %d jobs on record is reached", g.cfg.MaxJobs)
}
