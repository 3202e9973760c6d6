package upstream

import (
	"net/http"

	"persimmonwind.dev/server/intact"
)

const (
	// smallAnswerBytes is the size up to which answers are read without regard to others.
	smallAnswerBytes = 64 << 10

	// maxStoreAnswerBytes is 1 MB of rows plus the overhead of base64 and field names.
	maxStoreAnswerBytes = 4 << 20
	// maxLargeStoreAnswers is the number of long polls and lists that run in parallel.
	maxLargeStoreAnswers = 3
	// storeConnections is the number of idle connections to the store that are kept:
	// three long polls and two short calls run in parallel.
	storeConnections = 5

	// maxEngineAnswerBytes is ten times the counts of a large engine: 58 sets of 256
	// experts, with 7 bytes each.
	maxEngineAnswerBytes = 1 << 20
	// maxLargeEngineAnswers is the number of large answers of engines that are read at the
	// same time. Each is read for 400 ms at most.
	maxLargeEngineAnswers = 8
	// engineConnections is the number of idle connections kept per engine: a
	// coordinator's read and order and the load report may run at the same time.
	engineConnections = 4
)

// StoreTransport returns the transport of calls to the platform's store.
func StoreTransport(dial DialFunc) http.RoundTripper {
	return newTransport(dial, storeConnections, intact.NewLimits(smallAnswerBytes, maxStoreAnswerBytes, maxLargeStoreAnswers))
}

// EngineTransport returns the transport of all calls of a process to model engines.
func EngineTransport(dial DialFunc) http.RoundTripper {
	return newTransport(dial, engineConnections, intact.NewLimits(smallAnswerBytes, maxEngineAnswerBytes, maxLargeEngineAnswers))
}

func newTransport(dial DialFunc, idleConnections int, limits *intact.Limits) http.RoundTripper {
	return intact.Transport(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}, limits)
}
