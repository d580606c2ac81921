package numbers

type Revision int64

type entry struct {
	Revision      Revision
	configRev     int64 // want "configRev is an int64: use store.Revision"
	TableRevision uint64
	Version       int64
}

func follow(after Revision, fence int64) (revision int64) { // want "fence is an int64: use store.Revision" "revision is an int64: use store.Revision"
	previous := int64(after) + fence
	return previous
}
