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
package standin
