//! What the parts of a border proxy cost by the size of the fleet: measured worlds, fits, files of figures.

pub mod members;
