// Package ferrypath chooses the engines that run a generation one after another and hand it on by themselves, and keeps count of what each has to do.
package ferrypath
