package wire

// ShareRequest asks the home entry of an organisation for a share of its limits;
// see package share.
type ShareRequest struct {
	Stamp  Stamp
	Org    string
	Want   int // Tokens requested.
	Unused int // Unused tokens of the last grant, which are returned.
	Slots  int // Total slots that the entry wants to hold from now on.
	InUse  int // Slots in use by requests in flight.
}

// ShareReply answers ShareRequest.
type ShareReply struct {
	Stamp        Stamp
	Tokens       int
	Slots        int
	RetryAfterMS int64
}
