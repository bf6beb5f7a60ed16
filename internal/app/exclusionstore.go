package app

import (
	"errors"
	"log/slog"
	"path/filepath"
	"time"

	"rooktrestle/internal/control/health"
	"rooktrestle/internal/state/atomicfile"
)

// exclusionRetryInterval is the interval at which exclusions that could not be written are written again.
const exclusionRetryInterval = time.Second

// exclusionStore stores which servers health checks keep out of service, for the process that replaces this one: a
// check may be silent when that process starts. The file is written off the loop.
type exclusionStore struct {
	file     *atomicfile.ValueFile // nil: nothing is stored
	lockPath string
	log      *slog.Logger
	unsaved  chan []health.Exclusion // at most the newest list that is not stored yet
	failure  failureLog
}

// newExclusionStore returns the store of an aggregator in a directory; without a directory nothing is stored.
func newExclusionStore(dir, name string, log *slog.Logger) *exclusionStore {
	s := &exclusionStore{log: log, unsaved: make(chan []health.Exclusion, 1)}
	s.failure = failureLog{
		failed:    func(err error) { log.Warn("drains by health checks may be lost with this process", "err", err.Error()) },
		recovered: func() { log.Info("drains by health checks are written down again") },
	}
	if dir == "" {
		return s
	}
	path := filepath.Join(dir, "rooktrestle-"+fileNamePart(name)+"-checks")
	s.file = atomicfile.New(atomicfile.OS{}, path)
	s.lockPath = path + ".lock"
	return s
}

// load returns the stored exclusions. A file that a newer version of the program has written is left as it is, and
// nothing is stored.
func (s *exclusionStore) load() []health.Exclusion {
	if s.file == nil {
		return nil
	}
	exclusions, err := s.read()
	if errors.Is(err, atomicfile.ErrNotExist) {
		return nil
	}
	if errors.Is(err, atomicfile.ErrUnsupported) || errors.Is(err, health.ErrUnsupported) {
		s.file = nil
	}
	if err != nil {
		s.log.Warn("drains by health checks of the previous process are unknown", "err", err.Error())
	}
	return exclusions
}

func (s *exclusionStore) read() ([]health.Exclusion, error) {
	text, err := s.file.Load()
	if err != nil {
		return nil, err
	}
	return health.DecodeExclusions(text)
}

// save makes run store the exclusions, in place of those that it has not stored yet. It does not block, and is called
// on the loop only, or before the loop runs.
func (s *exclusionStore) save(exclusions []health.Exclusion) {
	select {
	case <-s.unsaved:
	default:
	}
	s.unsaved <- exclusions
}

// run stores the exclusions passed to save until stop is closed, and then those that are left. A failure is repeated.
func (s *exclusionStore) run(stop <-chan struct{}) {
	var exclusions []health.Exclusion
	var retry <-chan time.Time // nil: everything is stored
	for {
		select {
		case exclusions = <-s.unsaved:
		case <-retry:
		case <-stop:
			s.finish(exclusions, retry != nil)
			return
		}
		retry = nil
		if err := s.write(exclusions); err != nil {
			retry = time.After(exclusionRetryInterval)
		}
	}
}

// finish stores the newest exclusions once more if they are not stored.
func (s *exclusionStore) finish(exclusions []health.Exclusion, failed bool) {
	select {
	case exclusions = <-s.unsaved:
	default:
		if !failed {
			return
		}
	}
	_ = s.write(exclusions) // it logs its failure, and the process ends
}

// write replaces the file's content.
func (s *exclusionStore) write(exclusions []health.Exclusion) error {
	if s.file == nil {
		return nil
	}
	err := s.replace(exclusions)
	s.failure.log(err)
	return err
}

func (s *exclusionStore) replace(exclusions []health.Exclusion) error {
	text, err := health.EncodeExclusions(exclusions)
	if err != nil {
		return err
	}
	release, err := lockFile(s.lockPath) // another process may use the file during a replacement
	if err != nil {
		return err
	}
	defer release()
	return s.file.Store(text)
}
