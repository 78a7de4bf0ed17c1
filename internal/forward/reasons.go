package forward

import "waxwingcleat.example/waxwingcleat/internal/modelpick"

// Reasons of final answers, as logged in the field "reason" of the events 800 and 801.
const (
	// ReasonStopping means that the request came after this node had begun to stop, or that the node ends before its server
	// has answered.
	ReasonStopping  = "the node is stopping"
	ReasonNoConfig  = "no configuration is known yet"
	ReasonNoRoute   = "no route for this host and path"
	ReasonBadTarget = "the target of the request is no path that can be passed on unchanged"
	ReasonNoService = "the route names no service"
	ReasonTooLarge  = "the body is larger than allowed"
	ReasonNoRoom    = "there is no room for the body"
	// ReasonBodyTooSlow means that the rest of the body wasn't there by the deadline, or that nothing arrived for too long.
	ReasonBodyTooSlow = "the body arrives too slowly"
	ReasonNoServer    = modelpick.ReasonNoServer
	ReasonAllBusy     = modelpick.ReasonAllBusy
	ReasonOverloaded  = "no server can load the adapter in time"
	ReasonNotLoaded   = modelpick.ReasonNotLoaded
	ReasonLimited     = modelpick.ReasonLimited
	ReasonResting     = modelpick.ReasonResting
	// ReasonPermitEnded means that a reservation, a charge or the use of the server ended before the request was written.
	ReasonPermitEnded = "the permit to send ended before the request was written"
	ReasonSlotsInUse  = "all slots of the servers are in use"
	// ReasonBrittle means that brittle servers may have no room, and the node that knows their requests did not answer.
	ReasonBrittle             = "the brittle servers may have no room"
	ReasonQuota               = "the customer's quota is used up"
	ReasonCrashing            = "servers crash on a part of the prompt"
	ReasonCrashingRequest     = "servers crash on this request"
	ReasonPrefillQueueTooLong = "the servers' prompts in line would take too long"
	ReasonNoConnection        = "no connection to a server was obtained"
	ReasonNoAnswer            = "the server gave no answer"
	ReasonNoPeerAnswer        = "the other node gave no answer"
	ReasonBrokeOff            = "stream broke off"
	ReasonUnknownOrigin       = "the software version that began the stream is unknown"
	ReasonOriginUnreachable   = "the route doesn't lead to the service that began the stream"
	ReasonCallerLeft          = "the caller left"
	ReasonWaitedTooLong       = "the deadline passed while the request waited"
	// reasonDeadlineAt is a prefix, followed by the server's ID.
	reasonDeadlineAt = "the deadline passed at server "
)
