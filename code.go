package rosemarysill

import "fmt"

// Code is a numbered result of a request or of a command. It is also the exit
// code of the program. docs/CODES.md lists all codes.
type Code int

// Results. The range of a code tells what is known about the request; see
// Truth.
const (
	Done Code = 0

	// 10-39: the request did not run.

	InvalidRequest     Code = 10
	TooLarge           Code = 11
	UnknownAccount     Code = 12
	ImpossibleShape    Code = 13
	QueueFull          Code = 14
	DeadlineUnmeetable Code = 15
	StoreUnavailable   Code = 16
	NotAuthoritative   Code = 17
	Leaving            Code = 18
	DomainOut          Code = 19
	StaleEpoch         Code = 20
	StaleConfiguration Code = 21
	NoCapacity         Code = 22
	StaleAttempt       Code = 23
	Overloaded         Code = 24
	CancelledUnstarted Code = 25
	ReservationLapsed  Code = 26
	IdentifierReused   Code = 27
	NoUpstream         Code = 28
	ShuttingDown       Code = 29
	QuotaExceeded      Code = 30
	Unreachable        Code = 31
	UnknownQueue       Code = 32

	// 40-49: the request ran and did not finish well.

	UpstreamFailed   Code = 40
	TaskFailed       Code = 41
	AnswerTooLarge   Code = 42
	StoppedByRequest Code = 43
	FailedEverywhere Code = 44

	// 50-59: whether the request ran is unknown.

	OutcomeUnknown    Code = 50
	IdentifierExpired Code = 51

	// 60-79: operators' commands, look-ups and settings.

	UnknownJob          Code = 60
	UnknownPlan         Code = 61
	PlanOutdated        Code = 62
	PlanExpired         Code = 63
	GuaranteeShort      Code = 64
	UnknownDomain       Code = 65
	UnknownUpstream     Code = 66
	InvalidSettings     Code = 67
	InvalidArguments    Code = 68
	NotFinished         Code = 69
	UnknownEntry        Code = 70
	InternalError       Code = 71
	ConfigurationExists Code = 72
)

var codeNames = map[Code]string{
	Done:                "Done",
	InvalidRequest:      "InvalidRequest",
	TooLarge:            "TooLarge",
	UnknownAccount:      "UnknownAccount",
	ImpossibleShape:     "ImpossibleShape",
	QueueFull:           "QueueFull",
	DeadlineUnmeetable:  "DeadlineUnmeetable",
	StoreUnavailable:    "StoreUnavailable",
	NotAuthoritative:    "NotAuthoritative",
	Leaving:             "Leaving",
	DomainOut:           "DomainOut",
	StaleEpoch:          "StaleEpoch",
	StaleConfiguration:  "StaleConfiguration",
	NoCapacity:          "NoCapacity",
	StaleAttempt:        "StaleAttempt",
	Overloaded:          "Overloaded",
	CancelledUnstarted:  "CancelledUnstarted",
	ReservationLapsed:   "ReservationLapsed",
	IdentifierReused:    "IdentifierReused",
	NoUpstream:          "NoUpstream",
	ShuttingDown:        "ShuttingDown",
	QuotaExceeded:       "QuotaExceeded",
	Unreachable:         "Unreachable",
	UnknownQueue:        "UnknownQueue",
	UpstreamFailed:      "UpstreamFailed",
	TaskFailed:          "TaskFailed",
	AnswerTooLarge:      "AnswerTooLarge",
	StoppedByRequest:    "StoppedByRequest",
	FailedEverywhere:    "FailedEverywhere",
	OutcomeUnknown:      "OutcomeUnknown",
	IdentifierExpired:   "IdentifierExpired",
	UnknownJob:          "UnknownJob",
	UnknownPlan:         "UnknownPlan",
	PlanOutdated:        "PlanOutdated",
	PlanExpired:         "PlanExpired",
	GuaranteeShort:      "GuaranteeShort",
	UnknownDomain:       "UnknownDomain",
	UnknownUpstream:     "UnknownUpstream",
	InvalidSettings:     "InvalidSettings",
	InvalidArguments:    "InvalidArguments",
	NotFinished:         "NotFinished",
	UnknownEntry:        "UnknownEntry",
	InternalError:       "InternalError",
	ConfigurationExists: "ConfigurationExists",
}

// String returns the name of the code as docs/CODES.md gives it.
func (c Code) String() string {
	if name, ok := codeNames[c]; ok {
		return name
	}
	return fmt.Sprintf("Code%d", int(c))
}

// Codes returns the names of all codes by number.
func Codes() map[Code]string {
	all := make(map[Code]string, len(codeNames))
	for c, name := range codeNames {
		all[c] = name
	}
	return all
}

// Truth is what is known about a request.
type Truth string

// The truths that a code can tell.
const (
	TruthDone    Truth = "Done"
	TruthNotRun  Truth = "NotRun"
	TruthFailed  Truth = "Failed"
	TruthUnknown Truth = "Unknown"
	TruthNone    Truth = "None" // not about a request
)

// Truth returns what the code says about its request.
func (c Code) Truth() Truth {
	switch {
	case c == Done:
		return TruthDone
	case c >= 10 && c <= 39:
		return TruthNotRun
	case c >= 40 && c <= 49:
		return TruthFailed
	case c >= 50 && c <= 59:
		return TruthUnknown
	default:
		return TruthNone
	}
}
