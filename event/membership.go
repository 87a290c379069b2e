package event

import "github.com/rs/zerolog"

// Events of package membership.
const (
	ListJoined           Event = 300
	EntryEstablished     Event = 301
	EntryRemoved         Event = 302
	RemovedFromList      Event = 303
	ListLeft             Event = 304
	StoreContactGained   Event = 310
	StoreContactLost     Event = 311
	AuthorityGained      Event = 312
	AuthorityLost        Event = 313
	ConfigurationAdopted Event = 320
	OlderDocument        Event = 321
	MalformedDocument    Event = 322
	ChangeUnresolved     Event = 323
	FenceRefused         Event = 330
)

var _ = define(map[Event]Definition{
	ListJoined:           {"ListJoined", zerolog.InfoLevel, "This entry has added itself to the list of entries."},
	EntryEstablished:     {"EntryEstablished", zerolog.InfoLevel, "This entry is established: it may change the configuration and place jobs."},
	EntryRemoved:         {"EntryRemoved", zerolog.WarnLevel, "This entry has removed another one that neither responded nor renewed its store contact."},
	RemovedFromList:      {"RemovedFromList", zerolog.WarnLevel, "Another entry has removed this one from the list; it joins again."},
	ListLeft:             {"ListLeft", zerolog.InfoLevel, "This entry has removed itself from the list of entries and is about to exit."},
	StoreContactGained:   {"StoreContactGained", zerolog.InfoLevel, "This entry has contact with the store."},
	StoreContactLost:     {"StoreContactLost", zerolog.WarnLevel, "This entry has not read the store, or not written its contact mark, within the permitted time."},
	AuthorityGained:      {"AuthorityGained", zerolog.InfoLevel, "This entry has authority to serve requests."},
	AuthorityLost:        {"AuthorityLost", zerolog.WarnLevel, "This entry has lost the authority to serve requests; it refuses new work as not run."},
	ConfigurationAdopted: {"ConfigurationAdopted", zerolog.InfoLevel, "A newer revision of the configuration is in force at this entry."},
	OlderDocument:        {"OlderDocument", zerolog.WarnLevel, "The store returned an older revision than the one already known; it is ignored."},
	MalformedDocument:    {"MalformedDocument", zerolog.ErrorLevel, "A document in the store cannot be decoded; it is ignored."},
	ChangeUnresolved:     {"ChangeUnresolved", zerolog.WarnLevel, "It could not be determined whether a change of the configuration took effect."},
	FenceRefused:         {"FenceRefused", zerolog.WarnLevel, "This entry refused to fence an attempt."},
})
