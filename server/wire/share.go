package wire

// ShareRequest asks the home entry of an organisation, which keeps the account of
// the organisation's limits, for a lease of rate tokens and concurrency slots; see
// package share.
type ShareRequest struct {
	Stamp  Stamp
	Org    string
	Want   int // Rate tokens requested, each of which admits one request.
	Unused int // Unused rate tokens of the last grant, which are returned.
	Slots  int // Total concurrency slots that the entry wants to hold from now on.
	InUse  int // Slots in use by requests in flight.
}

// ShareReply grants rate tokens and concurrency slots.
type ShareReply struct {
	Stamp        Stamp
	Tokens       int
	Slots        int
	RetryAfterMS int64 // Set when no token or slot was free.
}
