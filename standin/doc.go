// Package standin holds small stand-ins of the systems that rosemarysill meets
// over HTTP: the platform's store, a worker's task runtime, and an upstream.
// Tests and the demonstration use them in-process or through Serve; the program
// cmd/standin runs one of them as a process of its own.
//
// # Store protocol
//
// Bodies are JSON with Pascal case keys; values are base64, durations are
// nanoseconds. Version is the key's version, which rises with each write, also
// across a deletion; the change of a deletion carries the version that was
// deleted. Revision is the store's, which rises with each change.
//
//	GET  /v1/item?key=K                       Item
//	GET  /v1/list?prefix=P&from=K             {Items, Revision, Next}; Next is the first key of the next page
//	GET  /v1/watch?prefix=P&after=R&wait=D    {Changes, Revision}; waits up to D
//	POST /v1/swap   {Key, Value, Version, Lease}   {Version}
//	POST /v1/delete {Key, Version}
//	POST /v1/grant  {TTL}                     {Lease}
//	POST /v1/renew  {Lease}
//	POST /v1/revoke {Lease}
//
// A refusal has the body {Error, Detail} with one of these values of Error:
// Version (409), NotFound (404), LeaseLapsed (410), Compacted (410),
// RateLimited (429), TooLarge (413), Invalid (400), Unavailable (503). Only
// Unavailable leaves open whether a write took effect.
//
// # Runtime protocol
//
// Leases are remaining durations, counted from the receipt of the request.
//
//	GET  /v1/tasks                            {Tasks}: TaskStatus of each task
//	POST /v1/start      {Start, Lease}; Start is a TaskStart, its LeaseUntil is ignored
//	POST /v1/extend     {Task, Lease}
//	POST /v1/checkpoint {Task}                {Checkpoint}; answers when it is saved
//	POST /v1/throttle   {Task, Share}
//	POST /v1/stop       {Task}; answers when the task runs no more
//	POST /v1/forget     {Task}
//
// Starting a task that exists succeeds without a second start. A stop of a task
// that does not exist is remembered, and a later start of it is refused, so
// that a delayed start cannot follow its own stop. Refusals: NoCapacity (409),
// Stopped (409), Lapsed (409), Invalid (400), NotFound (404), NotRunning (409), Unavailable
// (503). The body of a task is JSON; see TaskBody.
//
// # Upstream protocol
//
//	POST /v1/call
//
// The request carries the headers Call-Id, Account, Class, Idempotent and
// Remaining (nanoseconds until the deadline), and the call's body. The answer
// (200) carries Call-Id, Content-Length, and Answer-Hash, the xxHash64 of its
// body in 16 hexadecimal digits. Refusals {Error, Detail}: NoCapacity (503),
// Invalid (400) and TooLarge (413) prove that the call did not begin; Failed
// (500) that it ran and failed. The body of a call is JSON; see CallBody.
//
// # Control
//
// Each stand-in takes its faults at POST /control/faults and shows its journal
// or counters at GET /control/journal and GET /control/counters.
package standin
