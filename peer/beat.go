package peer

import (
	"net/netip"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
)

const (
	maxReports = 128      // a relay folds the reports of at most one rack
	maxTasks   = 1024     // tasks of one worker
	maxEntries = 256      // entries named in a reply
	maxResult  = 64 << 10 // result of a finished member
)

var kinds = enum[rosemarysill.AgentKind, peerpb.Kind]{
	{rosemarysill.UpstreamAgent, peerpb.Kind_KIND_UPSTREAM},
	{rosemarysill.WorkerAgent, peerpb.Kind_KIND_WORKER},
}

var taskStates = enum[rosemarysill.TaskState, peerpb.TaskState]{
	{rosemarysill.TaskReserved, peerpb.TaskState_TASK_STATE_RESERVED},
	{rosemarysill.TaskRunning, peerpb.TaskState_TASK_STATE_RUNNING},
	{rosemarysill.TaskStopping, peerpb.TaskState_TASK_STATE_STOPPING},
	{rosemarysill.TaskDone, peerpb.TaskState_TASK_STATE_DONE},
	{rosemarysill.TaskFailure, peerpb.TaskState_TASK_STATE_FAILED},
	{rosemarysill.TaskStopped, peerpb.TaskState_TASK_STATE_STOPPED},
}

func encodeBeat(b rosemarysill.Heartbeat) *peerpb.BeatRequest {
	m := &peerpb.BeatRequest{Reports: make([]*peerpb.Report, len(b.Reports))}
	for i := range b.Reports {
		m.Reports[i] = encodeReport(&b.Reports[i])
	}
	return m
}

func encodeReport(r *rosemarysill.AgentReport) *peerpb.Report {
	m := &peerpb.Report{
		Name:        r.Name,
		Boot:        r.Boot[:],
		Sequence:    r.Sequence,
		FreeSlots:   uint32(r.FreeSlots),
		InProgress:  uint32(r.InProgress),
		TasksDigest: r.TasksDigest,
		Revision:    r.Revision,
		Leaving:     r.Leaving,
		Echo:        r.Echo,
	}
	if id := r.Identity; id != nil {
		m.Identity = &peerpb.Identity{
			Address:      encodeAddress(id.Address),
			Kind:         kinds.encode(id.Kind),
			Domain:       id.Domain,
			Rack:         id.Rack,
			Slots:        uint32(id.Slots),
			Accelerators: uint32(id.Accelerators),
			Processors:   uint32(id.Processors),
			MemoryMb:     uint32(id.MemoryMB),
		}
	}
	if r.HasTasks {
		m.Tasks = &peerpb.Tasks{}
		for i := range r.Tasks {
			m.Tasks.Tasks = append(m.Tasks.Tasks, encodeTask(&r.Tasks[i]))
		}
	}
	return m
}

func encodeTask(t *rosemarysill.TaskReport) *peerpb.Task {
	return &peerpb.Task{
		Job:        t.Job[:],
		Attempt:    uint32(t.Attempt),
		Member:     uint32(t.Member),
		Members:    uint32(t.Members),
		State:      taskStates.encode(t.State),
		Slot:       encodeSlot(t.Slot),
		Detail:     clip(t.Detail),
		Checkpoint: t.Checkpoint,
		Result:     t.Result,
	}
}

func decodeBeat(m *peerpb.BeatRequest) (rosemarysill.Heartbeat, error) {
	var d decoder
	if n := len(m.GetReports()); n == 0 || n > maxReports {
		d.fault("Reports", "%d reports", n)
		return rosemarysill.Heartbeat{}, d.err()
	}
	b := rosemarysill.Heartbeat{Reports: make([]rosemarysill.AgentReport, len(m.GetReports()))}
	for i, report := range m.GetReports() {
		b.Reports[i] = decodeReport(&d, report)
	}
	return b, d.err()
}

func decodeReport(d *decoder, m *peerpb.Report) rosemarysill.AgentReport {
	r := rosemarysill.AgentReport{
		Name:        d.text("Report.Name", m.GetName()),
		Boot:        d.uuid("Report.Boot", m.GetBoot()),
		Sequence:    m.GetSequence(),
		Leaving:     m.GetLeaving(),
		FreeSlots:   d.number("Report.FreeSlots", m.GetFreeSlots()),
		InProgress:  d.number("Report.InProgress", m.GetInProgress()),
		TasksDigest: m.GetTasksDigest(),
		Revision:    m.GetRevision(),
		Echo:        m.GetEcho(),
	}
	if r.Name == "" {
		d.fault("Report.Name", "missing")
	}
	if id := m.GetIdentity(); id != nil {
		r.Identity = &rosemarysill.AgentIdentity{
			Name:         r.Name,
			Boot:         r.Boot,
			Kind:         kinds.decode(d, "Identity.Kind", id.GetKind()),
			Address:      d.address("Identity.Address", id.GetAddress()),
			Domain:       d.text("Identity.Domain", id.GetDomain()),
			Rack:         d.text("Identity.Rack", id.GetRack()),
			Slots:        d.number("Identity.Slots", id.GetSlots()),
			Accelerators: d.number("Identity.Accelerators", id.GetAccelerators()),
			Processors:   d.number("Identity.Processors", id.GetProcessors()),
			MemoryMB:     d.number("Identity.MemoryMb", id.GetMemoryMb()),
		}
	}
	if tasks := m.GetTasks(); tasks != nil {
		r.HasTasks = true
		if n := len(tasks.GetTasks()); n > maxTasks {
			d.fault("Tasks", "%d tasks", n)
			return r
		}
		for _, t := range tasks.GetTasks() {
			r.Tasks = append(r.Tasks, decodeTask(d, t))
		}
	}
	return r
}

func decodeTask(d *decoder, m *peerpb.Task) rosemarysill.TaskReport {
	if n := len(m.GetResult()); n > maxResult {
		d.fault("Task.Result", "%d bytes", n)
	}
	return rosemarysill.TaskReport{
		Job:        d.uuid("Task.Job", m.GetJob()),
		Attempt:    d.number("Task.Attempt", m.GetAttempt()),
		Member:     d.number("Task.Member", m.GetMember()),
		Members:    d.number("Task.Members", m.GetMembers()),
		State:      taskStates.decode(d, "Task.State", m.GetState()),
		Slot:       decodeSlot(d, m.GetSlot()),
		Detail:     d.text("Task.Detail", m.GetDetail()),
		Checkpoint: d.text("Task.Checkpoint", m.GetCheckpoint()),
		Result:     m.GetResult(),
	}
}

// encodeBeatReply names each report by its index in the beat. Orders for an
// agent that the beat does not report on are left out.
func encodeBeatReply(r rosemarysill.HeartbeatReply, b rosemarysill.Heartbeat) *peerpb.BeatReply {
	index := make(map[string]int, len(b.Reports))
	for i := range b.Reports {
		index[b.Reports[i].Name] = i
	}
	m := &peerpb.BeatReply{}
	for i := range r.Orders {
		o := &r.Orders[i]
		report, ok := index[o.Name]
		if !ok {
			continue
		}
		orders := &peerpb.Orders{
			Report:       uint32(report),
			Revision:     o.Revision,
			FreshMs:      encodeMilliseconds(o.FreshFor),
			Epoch:        o.Epoch,
			AckedDigest:  o.AckedDigest,
			DomainOut:    o.DomainOut,
			Drained:      o.Drained,
			SendIdentity: o.SendIdentity,
			Stamp:        o.Stamp,
		}
		for _, l := range o.Leases {
			orders.Leases = append(orders.Leases, &peerpb.Grant{
				Job: l.Job[:], Attempt: uint32(l.Attempt), ForMs: encodeMilliseconds(l.Duration),
			})
		}
		m.Orders = append(m.Orders, orders)
	}
	for _, a := range r.Entries {
		m.Entries = append(m.Entries, encodeAddress(a))
	}
	return m
}

func decodeBeatReply(m *peerpb.BeatReply, b rosemarysill.Heartbeat) (rosemarysill.HeartbeatReply, error) {
	var d decoder
	var r rosemarysill.HeartbeatReply
	if n := len(m.GetOrders()); n > len(b.Reports) {
		d.fault("Orders", "%d for %d reports", n, len(b.Reports))
		return r, d.replyErr()
	}
	if n := len(m.GetEntries()); n > maxEntries {
		d.fault("Entries", "%d addresses", n)
		return r, d.replyErr()
	}
	for _, o := range m.GetOrders() {
		if int64(o.GetReport()) >= int64(len(b.Reports)) {
			d.fault("Orders.Report", "%d of %d", o.GetReport(), len(b.Reports))
			continue
		}
		if n := len(o.GetLeases()); n > maxTasks {
			d.fault("Orders.Leases", "%d leases", n)
			continue
		}
		orders := rosemarysill.AgentOrders{
			Name:         b.Reports[o.GetReport()].Name,
			SendIdentity: o.GetSendIdentity(),
			AckedDigest:  o.GetAckedDigest(),
			Revision:     o.GetRevision(),
			DomainOut:    o.GetDomainOut(),
			Drained:      o.GetDrained(),
			FreshFor:     d.milliseconds(o.GetFreshMs()),
			Epoch:        o.GetEpoch(),
			Stamp:        o.GetStamp(),
		}
		for _, l := range o.GetLeases() {
			orders.Leases = append(orders.Leases, rosemarysill.LeaseGrant{
				Job:      d.uuid("Grant.Job", l.GetJob()),
				Attempt:  d.number("Grant.Attempt", l.GetAttempt()),
				Duration: d.milliseconds(l.GetForMs()),
			})
		}
		r.Orders = append(r.Orders, orders)
	}
	r.Entries = decodeAddresses(&d, m.GetEntries())
	return r, d.replyErr()
}

func decodeAddresses(d *decoder, list [][]byte) []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range list {
		out = append(out, d.address("Entries", b))
	}
	return out
}
