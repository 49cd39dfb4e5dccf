//! What `lovagedock-capacity` measures with: series with a line through them, and the page that
//! shows the tables.

pub mod page;
pub mod slope;
