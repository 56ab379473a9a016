package ferryplatformtest

import "cactusferry.dev/ferry/ferryplatform"

// StateEpochs makes the platform state its epoch, which starts at 1 and rises with each Restore.
func (f *Fake) StateEpochs() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = max(f.epoch, 1)
}

// Epoch returns the epoch of the platform; false means that it states none.
func (f *Fake) Epoch() (ferryplatform.Epoch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epoch, f.epoch > 0
}

// stated returns a revision as a version of the current epoch.
func (f *Fake) stated(v ferryplatform.Version) ferryplatform.Version {
	if f.epoch == 0 || v == ferryplatform.NoVersion {
		return v
	}
	return ferryplatform.VersionAt(f.epoch, uint64(v))
}

func (f *Fake) statedObject(o ferryplatform.Object) ferryplatform.Object {
	o.Version = f.stated(o.Version)
	return o
}

func (f *Fake) statedChanges(c ferryplatform.Changes) ferryplatform.Changes {
	c.Version = f.stated(c.Version)
	for i := range c.Objects {
		c.Objects[i] = f.statedObject(c.Objects[i])
	}
	return c
}

// revision returns a version as a revision; false means that it is of another epoch.
func (f *Fake) revision(v ferryplatform.Version) (ferryplatform.Version, bool) {
	if f.epoch == 0 || v == ferryplatform.NoVersion {
		return v, true
	}
	return ferryplatform.Version(v.Revision()), v.Epoch() == f.epoch
}
